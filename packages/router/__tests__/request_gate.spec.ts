import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {createSettings} from '@buckthornbeam/config';
import type {RequestLimits, SettingsFile} from '@buckthornbeam/config';
import {waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createRequestGate} from '../src/http/request_gate.js';
import type {RequestGate} from '../src/http/request_gate.js';

const {limits} = createSettings({platform: {}} as SettingsFile);

const WAIT_MS = 20;
const MAXIMUM_WAITS = 500;
const CHUNK = Buffer.alloc(64 * 1024);

type Handler = (
  gate: RequestGate,
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Runs with a server behind a gate and a client that sends one request. */
async function useGate(
  change: Partial<RequestLimits>,
  handle: Handler,
  body: (gate: RequestGate, client: Socket) => Promise<void>,
): Promise<void> {
  const gate = createRequestGate({...limits, ...change});
  const server = createServer((request, response) =>
    handle(gate, request, response),
  );
  await new Promise<void>(resolve => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const client = connect((server.address() as AddressInfo).port, '127.0.0.1');
  client.on('error', () => undefined);
  client.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
  try {
    await body(gate, client);
  } finally {
    client.destroy();
    gate.close();
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

/** Writes without end, as fast as the caller reads. */
function writeEndlessly(response: ServerResponse): void {
  while (!response.destroyed && response.write(CHUNK));
  response.once('drain', () => writeEndlessly(response));
}

describe('request gate', () => {
  it('ends an answer that its caller leaves unread', () => {
    let isClosed = false;
    return useGate(
      {writeTimeoutMs: 100},
      (gate, request, response) => {
        gate.open(request, response);
        response.once('close', () => {
          isClosed = true;
        });
        writeEndlessly(response);
      },
      async (gate, client) => {
        client.pause();
        await waitUntil(() => isClosed);
        assert.is(gate.countOpen(), 0);
      },
    );
  });

  it('leaves an answer alone that waits for its engine', () => {
    let isClosed = false;
    return useGate(
      {writeTimeoutMs: 20},
      (gate, request, response) => {
        gate.open(request, response);
        response.write('first');
        response.once('close', () => {
          isClosed = true;
        });
      },
      async gate => {
        await waitUntil(() => gate.countOpen() === 1);
        await waitFor(200);
        assert.not(isClosed);
      },
    );
  });

  it('gives buffered bytes back when the request has ended', () =>
    useGate(
      {maximumBufferedBytes: 100},
      (gate, request, response) => {
        gate.open(request, response);
        const permit = gate.getPermit(request);
        permit.takeBytes(60);
        assert.throws(() => permit.takeBytes(60), /buffered/);
        response.end(String(gate.countBufferedBytes()));
      },
      async (gate, client) => {
        let text = '';
        client.on('data', bytes => {
          text += bytes;
        });
        await waitUntil(
          () => text.endsWith('60\r\n0\r\n\r\n') || /60$/.test(text),
        );
        await waitUntil(() => gate.countOpen() === 0);
        assert.is(gate.countBufferedBytes(), 0);
      },
    ));
});
