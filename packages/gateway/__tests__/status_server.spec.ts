/** Connections and memory of status requests, over real sockets. */
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {createSystemClock, waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createConnectionShare} from '../src/http/connection_share.js';
import {createStatusServers} from '../src/http/status_server.js';
import type {
  StatusRoute,
  StatusServersOptions,
} from '../src/http/status_server.js';
import {computeConnectionLimits} from '../src/memory/machine_limits.js';
import {createMemoryBudget} from '../src/memory/memory_budget.js';
import {HOST, openSocket} from './support/caller_gateway.js';

const MAXIMUM_CONNECTIONS = 10;
const CLIENTS = 40;
const LIMIT_BYTES = 20_000_000;
/** More than the buffers of a connection on loopback hold. */
const BODY = 'x'.repeat(8_000_000);
const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const SETTLE_MS = 5000;
const POLL_MS = 5;

async function findPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

async function startStatusServer(
  route: Partial<StatusRoute> = {},
  options: Partial<StatusServersOptions> = {},
) {
  const port = await findPort();
  const memory = createMemoryBudget({
    limitBytes: LIMIT_BYTES,
    clock: createSystemClock(),
  });
  const servers = createStatusServers(
    [
      {
        address: `${HOST}:${port}`,
        handler: () => ({status: 200, body: BODY}),
        maximumConnections: MAXIMUM_CONNECTIONS,
        ...route,
      },
    ],
    {memory, ...options},
  );
  await servers.start();
  return {port, memory, servers};
}

function openSockets(port: number, count: number): Promise<Socket[]> {
  return Promise.all(Array.from({length: count}, () => openSocket(port)));
}

async function waitUntil(check: () => boolean): Promise<boolean> {
  const endsAt = performance.now() + SETTLE_MS;
  while (!check() && performance.now() < endsAt) {
    await waitFor(POLL_MS);
  }
  return check();
}

describe('the server for status requests', () => {
  // Guards against clients that use up the descriptors of the process.
  it('bounds its connections, and answers a new one', async () => {
    const {port, servers} = await startStatusServer({
      handler: () => ({status: 200, body: 'ready'}),
    });
    const sockets = await openSockets(port, CLIENTS);
    assert.ok(
      await waitUntil(
        () => sockets.filter(({closed}) => closed).length >= CLIENTS - 10,
      ),
    );
    assert.is(servers.countConnections(), MAXIMUM_CONNECTIONS);
    const [last] = await openSockets(port, 1);
    let answer = '';
    last!.on('data', bytes => (answer += String(bytes)));
    last!.write(GET);
    assert.ok(await waitUntil(() => answer.endsWith('ready\r\n0\r\n\r\n')));
    [...sockets, last!].forEach(socket => socket.destroy());
    assert.ok(await waitUntil(() => servers.countConnections() === 0));
    servers.stop();
  });

  // Guards against answers that fill the memory because nobody reads them.
  it('bounds the memory of its answers, and releases each once', async () => {
    const {port, memory, servers} = await startStatusServer();
    const sockets = await openSockets(port, 6);
    for (const socket of sockets) {
      socket.pause();
      socket.write(GET + GET);
    }
    assert.ok(await waitUntil(() => memory.heldBytes > 0));
    await waitFor(100);
    assert.ok(memory.heldBytes >= BODY.length, `${memory.heldBytes} bytes`);
    assert.ok(memory.heldBytes <= LIMIT_BYTES, `${memory.heldBytes} bytes`);
    sockets.forEach(socket => socket.destroy());
    assert.ok(await waitUntil(() => memory.heldBytes === 0));
    servers.stop();
  });

  it('releases an answer that was read, and those that its stop cuts', async () => {
    const {port, memory, servers} = await startStatusServer();
    const [reading, paused] = await openSockets(port, 2);
    let received = 0;
    reading!.on('data', bytes => (received += bytes.length));
    reading!.write(GET);
    assert.ok(await waitUntil(() => received >= BODY.length));
    assert.ok(await waitUntil(() => memory.heldBytes === 0));
    paused!.pause();
    paused!.write(GET);
    assert.ok(await waitUntil(() => memory.heldBytes > 0));
    servers.stop();
    assert.ok(await waitUntil(() => memory.heldBytes === 0));
    [reading!, paused!].forEach(socket => socket.destroy());
  });

  // Guards against two thousand requests of one read that are answered at once.
  it('closes a connection with many requests that wait for their answer', async () => {
    let calls = 0;
    const {port, servers} = await startStatusServer({
      handler: async () => {
        calls += 1;
        await waitFor(POLL_MS);
        return {status: 200};
      },
    });
    const [socket] = await openSockets(port, 1);
    socket!.write(GET.repeat(1000));
    assert.ok(await waitUntil(() => socket!.closed));
    assert.ok(calls < 10, `${calls} calls`);
    servers.stop();
  });

  it('answers 503 to a request whose answer finds no memory', async () => {
    const memory = createMemoryBudget({
      limitBytes: BODY.length - 1,
      clock: createSystemClock(),
    });
    const {port, servers} = await startStatusServer({}, {memory});
    const [socket] = await openSockets(port, 1);
    let answer = '';
    socket!.on('data', bytes => (answer += String(bytes)));
    socket!.write(GET);
    assert.ok(await waitUntil(() => answer.includes('\r\n\r\n')));
    assert.match(answer, /^HTTP\/1\.1 503 /);
    assert.is(memory.heldBytes, 0);
    socket!.destroy();
    servers.stop();
  });
});

describe('descriptors of a small machine', () => {
  const limits = computeConnectionLimits({maximumDescriptors: 2212});

  function createShare(callers: number, idleCallers: number, status: number) {
    const counts = {callers, status};
    const share = createConnectionShare({
      ...limits,
      countCallers: () => counts.callers,
      countStatus: () => counts.status,
      closeCallersBeyond: count => {
        const closed = Math.min(idleCallers, counts.callers - count);
        counts.callers -= Math.max(0, closed);
      },
    });
    return {share, counts};
  }

  // Guards against a fleet whose instances cannot fetch the cluster state.
  it('hold a connection of each peer of the largest deployment', () => {
    assert.ok(limits.peerConnections >= 419);
    const {share, counts} = createShare(1207, 1207, 418);
    assert.ok(share.makeRoom() >= 1);
    assert.ok(counts.callers + 419 <= 1207 + limits.reservedConnections);
  });

  it('are left to callers while few status requests are under way', () => {
    const {share} = createShare(1000, 0, limits.reservedConnections);
    assert.is(share.computeCallerMaximum(), limits.maximumConnections);
  });

  // Guards against descriptors that both sides take at the same time.
  it('are never exceeded by callers and status requests together', () => {
    const {share, counts} = createShare(limits.maximumConnections, 0, 0);
    let opened = 0;
    while (share.makeRoom() > 0) {
      counts.status += 1;
      opened += 1;
    }
    assert.is(opened, limits.reservedConnections);
    counts.callers = 0;
    assert.ok(share.makeRoom() > limits.peerConnections);
  });

  it('have no limit without settings', () => {
    const share = createConnectionShare({
      ...computeConnectionLimits({}),
      countCallers: () => 5000,
      countStatus: () => 5000,
      closeCallersBeyond: () => assert.unreachable(),
    });
    assert.is(share.computeCallerMaximum(), Infinity);
    assert.is(share.makeRoom(), Infinity);
  });
});
