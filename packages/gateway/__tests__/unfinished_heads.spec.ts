/** Memory of the heads of requests that are not complete. */
import {EventEmitter} from 'node:events';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {createManualClock} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createCallerConnections} from '../src/http/caller_connections.js';
import {INITIAL_LIMITS, computeParserLimit} from '../src/http/caller_limits.js';
import {createUnfinishedHeads} from '../src/http/unfinished_heads.js';
import {computeMemoryBudget} from '../src/memory/machine_limits.js';
import {MemoryUse, createMemoryBudget} from '../src/memory/memory_budget.js';
import {openSocket, startCallerGateway} from './support/caller_gateway.js';
import {FakeSocket} from './support/fake_socket.js';

const SMALLEST_MACHINE_BYTES = computeMemoryBudget({memoryMb: 160});
/** Connections of callers on the smallest machine. */
const CONNECTIONS = 1207;
const LONGEST_HEAD_BYTES = 65_536;
const STALLED_MS = 1000;

function createFixture(limitBytes = SMALLEST_MACHINE_BYTES) {
  const clock = createManualClock();
  const budget = createMemoryBudget({limitBytes, clock});
  const server = new EventEmitter();
  const connections = createCallerConnections(server as unknown as Server);
  const heads = createUnfinishedHeads({
    budget,
    listHeads: () => connections.listHeads(),
  });
  function open(bytesRead: number): FakeSocket {
    const socket = new FakeSocket('a');
    server.emit('connection', socket);
    socket.bytesRead = bytesRead;
    return socket;
  }
  /** Completes a head; the returned function ends the response. */
  function startRequest(socket: FakeSocket, complete: boolean): () => void {
    const request = Object.assign(new EventEmitter(), {socket, complete});
    const response = new EventEmitter();
    connections.recordRequest(
      request as unknown as IncomingMessage,
      response as unknown as ServerResponse,
    );
    if (complete) {
      request.emit('end');
    }
    return () => response.emit('close');
  }
  return {clock, budget, heads, open, startRequest};
}

/** Ways in which a head that is counted ends. */
const ENDS = {
  'with a complete request': ({startRequest, heads}, socket) => {
    startRequest(socket, true);
    heads.sample();
  },
  'with a body to follow': ({startRequest, heads}, socket) => {
    startRequest(socket, false);
    socket.bytesRead += 1_000_000;
    heads.sample();
  },
  'with a refused body whose rest is dropped': (
    {startRequest, heads},
    socket,
  ) => {
    startRequest(socket, false)();
    socket.bytesRead += 1_000_000;
    heads.sample();
  },
  'with its connection': (_fixture, socket) => {
    socket.emit('close');
    socket.emit('close');
  },
  'with the process': ({heads}) => {
    heads.stop();
    heads.stop();
  },
} as const satisfies Record<
  string,
  (fixture: ReturnType<typeof createFixture>, socket: FakeSocket) => void
>;

describe('the memory of unfinished heads', () => {
  for (const [name, run] of Object.entries(ENDS)) {
    // Guards against a budget that is used up by heads that have ended.
    it(`is released if the head ends ${name}`, () => {
      const fixture = createFixture();
      const socket = fixture.open(10_000);
      fixture.heads.sample();
      assert.ok(fixture.budget.heldBytes >= 10_000);
      run(fixture, socket);
      assert.is(fixture.budget.heldBytes, 0);
      assert.not(socket.destroyed);
    });
  }

  // Guards against 2,000 connections that fill a machine with 128 MB of heads.
  it('is bounded, however many connections send a part of one', async () => {
    const {budget, heads, open} = createFixture();
    const sockets = Array.from({length: 2000}, () => open(LONGEST_HEAD_BYTES));
    heads.sample();
    await Promise.resolve();
    const kept = sockets.filter(({destroyed}) => !destroyed);
    assert.ok(budget.heldBytes <= SMALLEST_MACHINE_BYTES);
    assert.ok(kept.length * LONGEST_HEAD_BYTES <= SMALLEST_MACHINE_BYTES);
    assert.ok(kept.length > 0);
    kept.forEach(socket => socket.destroy());
    await Promise.resolve();
    assert.is(budget.heldBytes, 0);
  });

  // Guards against a limit that an ordinary client reaches.
  it('holds the longest legal head without other load', () => {
    const {heads, open} = createFixture(16_000_000);
    const socket = open(0);
    for (let bytes = 1; bytes <= LONGEST_HEAD_BYTES; bytes += 1000) {
      socket.bytesRead = bytes;
      heads.sample();
    }
    assert.not(socket.destroyed);
  });

  it('gives way to bodies with a known key', () => {
    const {budget, heads, open} = createFixture(1_000_000);
    const socket = open(50_000);
    heads.sample();
    const body = budget.openAccount({
      use: MemoryUse.RECEIVING,
      isKnown: true,
    });
    assert.ok(body.resize(740_000));
    assert.ok(socket.destroyed);
  });

  it('gives way to other heads only once it has stopped', () => {
    const {clock, heads, open} = createFixture(200_000);
    const first = open(60_000);
    heads.sample();
    const second = open(60_000);
    heads.sample();
    assert.ok(second.destroyed && !first.destroyed);
    clock.advance(STALLED_MS);
    const third = open(60_000);
    heads.sample();
    assert.ok(first.destroyed && !third.destroyed);
  });

  it('counts only what follows a request on its connection', () => {
    const {budget, heads, open, startRequest} = createFixture();
    const socket = open(1000);
    startRequest(socket, true);
    heads.sample();
    assert.is(budget.heldBytes, 0);
    socket.bytesRead += 500;
    heads.sample();
    assert.ok(budget.heldBytes >= 500);
  });
});

describe('the longest head that the parser accepts', () => {
  const {maximumHeaderBytes} = INITIAL_LIMITS;

  it('is that of an unlimited machine while few connections are open', () => {
    const limits = INITIAL_LIMITS;
    for (const memoryBytes of [Infinity, SMALLEST_MACHINE_BYTES]) {
      const bytes = computeParserLimit({connections: 60, memoryBytes, limits});
      assert.is(bytes, LONGEST_HEAD_BYTES);
    }
  });

  // Guards against heads that arrive between two samples.
  it('bounds the heads of all connections of the smallest machine', () => {
    let bytes = 0;
    for (let connections = 0; connections < CONNECTIONS; connections++) {
      const limit = computeParserLimit({
        connections,
        memoryBytes: SMALLEST_MACHINE_BYTES,
        limits: INITIAL_LIMITS,
      });
      assert.ok(limit > maximumHeaderBytes);
      bytes += limit;
    }
    assert.ok(bytes <= SMALLEST_MACHINE_BYTES, `${bytes} bytes`);
  });

  // Guards against a version of Node.js that no longer reads the limit for each connection.
  it('applies to each further connection', async () => {
    const memory = createMemoryBudget({
      limitBytes: 8 * 2 * LONGEST_HEAD_BYTES,
      clock: createManualClock(),
    });
    const {port, close} = await startCallerGateway({
      backendPort: 9,
      changes: {memory},
    });
    const head = `GET /${'a'.repeat(40_000)} HTTP/1.1\r\nHost: host\r\n\r\n`;
    const statuses: string[] = [];
    const sockets = [];
    for (let count = 0; count < 4; count++) {
      const socket = await openSocket(port);
      sockets.push(socket);
      const answered = new Promise<Buffer>(resolve =>
        socket.once('data', resolve),
      );
      socket.write(head);
      statuses.push(String(await answered).split(' ')[1]!);
    }
    sockets.forEach(socket => socket.destroy());
    close();
    assert.equal(
      statuses.map(status => status === '431'),
      [false, false, true, true],
    );
  });
});
