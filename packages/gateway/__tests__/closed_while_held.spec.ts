/** Connections of callers that close while they are not read, over real sockets. */
import {createServer} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  HOST,
  openSocket,
  startCallerGateway,
} from './support/caller_gateway.js';

const HEAD =
  'POST /a/ HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n';
const SMALL_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(20_000));
/** More than may wait for their turn at the same time. */
const CLIENTS = 12;
/** Half of the time for which a refused caller may go on sending. */
const RELEASE_LIMIT_MS = 250;
const POLL_MS = 2;
const SETTLE_MS = 5000;

async function waitUntil(check: () => boolean, limitMs: number) {
  const startedAt = performance.now();
  while (!check() && performance.now() - startedAt < limitMs) {
    await waitFor(POLL_MS);
  }
  return performance.now() - startedAt;
}

function recordAnswer(socket: Socket): () => string {
  let answer = '';
  socket.on('data', bytes => (answer += bytes.toString()));
  return () => answer;
}

async function startGateway() {
  const backend = createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      response.writeHead(200, {id: 'r1', seal: 's'});
      response.end('answer');
    });
  });
  await new Promise<void>(resolve => backend.listen(0, HOST, () => resolve()));
  const {port: backendPort} = backend.address() as AddressInfo;
  const gateway = await startCallerGateway({backendPort, deadlineMs: 60_000});
  return {
    ...gateway,
    close: () => {
      gateway.close();
      backend.closeAllConnections();
      backend.close();
    },
  };
}

describe('a connection that is refused while it is not read', () => {
  // Guards against descriptors that are used up by callers that come and go.
  it('is released as soon as its caller closes it', async () => {
    const {callers, port, close} = await startGateway();
    const sockets = await Promise.all(
      Array.from({length: CLIENTS}, () => openSocket(port)),
    );
    await waitUntil(() => callers.countConnections() === CLIENTS, SETTLE_MS);
    const refused: Socket[] = [];
    for (const socket of sockets) {
      const getAnswer = recordAnswer(socket);
      socket.on('data', () => {
        if (/ 503 /.test(getAnswer()) && !refused.includes(socket)) {
          refused.push(socket);
        }
      });
      socket.write(HEAD);
      socket.write(SMALL_CHUNKS);
    }
    await waitUntil(() => refused.length > 0, SETTLE_MS);
    assert.ok(refused.length > 0, 'no body was refused');
    const expected = CLIENTS - refused.length;
    refused.forEach(socket => socket.destroy());
    const tookMs = await waitUntil(
      () => callers.countConnections() <= expected,
      SETTLE_MS,
    );
    sockets.forEach(socket => socket.destroy());
    close();
    assert.ok(tookMs < RELEASE_LIMIT_MS, `released after ${tookMs} ms`);
  });

  // Guards against a refusal that is lost, since its caller still sends.
  it('is refused without a reset while its caller goes on', async () => {
    const {port, close} = await startGateway();
    const sockets = await Promise.all(
      Array.from({length: CLIENTS}, () => openSocket(port)),
    );
    const answers = sockets.map(recordAnswer);
    let resets = 0;
    for (const socket of sockets) {
      socket.on('error', () => (resets += 1));
      socket.write(HEAD);
      socket.write(SMALL_CHUNKS);
      socket.write(SMALL_CHUNKS);
    }
    const countAnswers = (pattern: RegExp) =>
      answers.filter(getAnswer => pattern.test(getAnswer())).length;
    await waitUntil(() => countAnswers(/ 503 /) > 0, SETTLE_MS);
    await waitFor(RELEASE_LIMIT_MS);
    assert.is(resets, 0);
    assert.match(
      answers.map(getAnswer => getAnswer()).join(''),
      /"code":"entry_full"/,
    );
    sockets.forEach(socket => socket.destroy());
    close();
  });
});
