/** Responses of servers that do not fit in the memory budget, over real sockets. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createSystemClock, waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createMemoryBudget} from '../src/memory/memory_budget.js';
import {RouteKind} from '../src/model.js';
import {
  HOST,
  openSocket,
  startCallerGateway,
} from './support/caller_gateway.js';

const LIMIT_BYTES = 1_000_000;
const LARGE_BYTES = 4_000_000;
const SMALL_BYTES = 1000;
const SETTLE_MS = 5000;
const POLL_MS = 5;

async function startGateway(kind: RouteKind, isAnnounced: boolean) {
  const backend = createServer((request, response) => {
    request.resume();
    const bytes = request.url === '/a/large' ? LARGE_BYTES : SMALL_BYTES;
    response.writeHead(200, {
      id: 'r1',
      seal: 's',
      ...(isAnnounced ? {'content-length': bytes} : {}),
    });
    response.end(Buffer.alloc(bytes, 'x'));
  });
  await new Promise<void>(resolve => backend.listen(0, HOST, () => resolve()));
  const memory = createMemoryBudget({
    limitBytes: LIMIT_BYTES,
    clock: createSystemClock(),
  });
  const gateway = await startCallerGateway({
    backendPort: (backend.address() as AddressInfo).port,
    deadlineMs: SETTLE_MS,
    route: {kind},
    changes: {memory},
  });
  return {
    ...gateway,
    memory,
    close: () => {
      gateway.close();
      backend.closeAllConnections();
      backend.close();
    },
  };
}

async function waitUntil(check: () => boolean): Promise<boolean> {
  const endsAt = performance.now() + SETTLE_MS;
  while (!check() && performance.now() < endsAt) {
    await waitFor(POLL_MS);
  }
  return check();
}

async function sendRequest(port: number, path: string): Promise<string> {
  const socket = await openSocket(port);
  let answer = '';
  socket.on('data', bytes => (answer += String(bytes)));
  socket.write(
    `POST ${path} HTTP/1.1\r\nHost: host\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
  assert.ok(await waitUntil(() => socket.closed));
  return answer;
}

describe('a response that does not fit in the memory budget', () => {
  for (const kind of [RouteKind.SAFE, RouteKind.UNSAFE]) {
    for (const isAnnounced of [true, false]) {
      const form = isAnnounced ? 'announced' : 'chunked';
      // Guards against a response that is truncated, or taken for a request that did not
      // run: the server has run it.
      it(`ends in 502, ${kind}, ${form}`, async () => {
        const {port, memory, callers, close} = await startGateway(
          kind,
          isAnnounced,
        );
        const refused = await sendRequest(port, '/a/large');
        assert.match(refused, /^HTTP\/1\.1 502 /);
        assert.match(refused, /"outcome":"unknown"/);
        assert.ok(await waitUntil(() => callers.countOpen() === 0));
        assert.is(memory.heldBytes, 0);
        const served = await sendRequest(port, '/a/small');
        assert.match(served, /^HTTP\/1\.1 200 /);
        assert.ok(await waitUntil(() => memory.heldBytes === 0));
        close();
      });
    }
  }
});
