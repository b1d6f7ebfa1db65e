import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {createSettings} from '@buckthornbeam/config';
import type {RequestLimits, SettingsFile} from '@buckthornbeam/config';
import {waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createRequestLimiter} from '../src/http/request_limiter.js';
import type {RequestLimiter} from '../src/http/request_limiter.js';

const {limits} = createSettings({platform: {}} as SettingsFile);

const WAIT_MS = 20;
const MAXIMUM_WAITS = 500;
const CHUNK = Buffer.alloc(64 * 1024);

type Handler = (
  limiter: RequestLimiter,
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/**
 * Starts a server that passes each request to `handle` with a limiter, sends it
 * one request, and calls `body` with the limiter and the client's socket.
 */
async function useLimiter(
  change: Partial<RequestLimits>,
  handle: Handler,
  body: (limiter: RequestLimiter, client: Socket) => Promise<void>,
): Promise<void> {
  const limiter = createRequestLimiter({...limits, ...change});
  const server = createServer((request, response) =>
    handle(limiter, request, response),
  );
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  client.on('error', () => undefined);
  client.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  try {
    await body(limiter, client);
  } finally {
    client.destroy();
    limiter.close();
    server.close();
    server.closeAllConnections();
  }
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let waits = 0; waits < MAXIMUM_WAITS && !isMet(); waits++) {
    await waitFor(WAIT_MS);
  }
  assert.ok(isMet());
}

/** Writes as fast as the client reads, until the response is destroyed. */
function writeEndlessly(response: ServerResponse): void {
  while (!response.destroyed && response.write(CHUNK));
  response.once('drain', () => writeEndlessly(response));
}

describe('request limiter', () => {
  it('ends a response that the caller does not read', () => {
    let isClosed = false;
    return useLimiter(
      {writeTimeoutMs: 100},
      (limiter, request, response) => {
        limiter.open(request, response);
        response.once('close', () => {
          isClosed = true;
        });
        writeEndlessly(response);
      },
      async (limiter, client) => {
        client.pause();
        await waitUntil(() => isClosed);
        assert.is(limiter.countOpen(), 0);
      },
    );
  });

  it('does not end a response that is waiting for its engine', () => {
    let isClosed = false;
    return useLimiter(
      {writeTimeoutMs: 20},
      (limiter, request, response) => {
        limiter.open(request, response);
        response.write('first');
        response.once('close', () => {
          isClosed = true;
        });
      },
      async limiter => {
        await waitUntil(() => limiter.countOpen() === 1);
        await waitFor(200);
        assert.not(isClosed);
      },
    );
  });

  it('releases buffered bytes when the request has ended', () =>
    useLimiter(
      {maximumBufferedBytes: 100},
      (limiter, request, response) => {
        limiter.open(request, response);
        const permit = limiter.getPermit(request);
        permit.addBytes(60);
        assert.throws(() => permit.addBytes(60), /buffered/);
        response.end(String(limiter.countBufferedBytes()));
      },
      async (limiter, client) => {
        let text = '';
        client.on('data', bytes => {
          text += bytes;
        });
        await waitUntil(
          () => text.endsWith('60\r\n0\r\n\r\n') || /60$/.test(text),
        );
        await waitUntil(() => limiter.countOpen() === 0);
        assert.is(limiter.countBufferedBytes(), 0);
      },
    ));
});
