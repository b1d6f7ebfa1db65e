/** Servers in trouble that send bytes without end until the caller closes. */
import {Agent} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import {readFileSync} from 'node:fs';
import {describe, it, measureHeldBytes} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {startAttempt} from '../src/relay/attempt.js';
import type {Attempt, AttemptResult} from '../src/relay/attempt.js';
import {createServerConnections} from '../src/relay/server_connections.js';
import {testDialect} from './support/fixtures.js';

const CHUNK = Buffer.alloc(16_384, 'x');
const MAXIMUM_BODY_BYTES = 1_000_000;
/** Bytes that a server may get rid of beyond the limit: buffers on the way. */
const BUFFERED_BYTES = 8_000_000;
const HEAD = 'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n';

/** Writes chunks for as long as the connection is open. */
function writeEndlessly(socket: Socket, count: (bytes: number) => void): void {
  const next = () => {
    if (!socket.destroyed) {
      count(CHUNK.length);
      socket.write(CHUNK, () => setImmediate(next));
    }
  };
  next();
}

/** Runs an attempt at a server that sends `begin` and then bytes without end. */
async function runAttempt(
  begin: string,
  isStream: boolean,
): Promise<{result: AttemptResult; sentBytes: number; events: number}> {
  let sentBytes = 0;
  let events = 0;
  const closed: Array<Promise<void>> = [];
  const server = createServer(socket => {
    socket.on('error', () => undefined);
    closed.push(new Promise(resolve => socket.on('close', () => resolve())));
    socket.write(begin);
    writeEndlessly(socket, bytes => (sentBytes += bytes));
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const agent = new Agent();
  const attempt = startAttempt({
    agent,
    address: `127.0.0.1:${port}`,
    method: 'POST',
    url: '/a/',
    headers: ['host', 'a'],
    body: Buffer.alloc(0),
    requestId: 'r1',
    dialect: testDialect,
    maximumBodyBytes: MAXIMUM_BODY_BYTES,
    ...(isStream
      ? {
          sink: {
            acceptHead: () => undefined,
            acceptEvents: received => {
              events += received.length;
              return true;
            },
          },
        }
      : {}),
  });
  const result = await attempt.result;
  await Promise.all(closed);
  agent.destroy();
  server.close();
  return {result, sentBytes, events};
}

describe('an answer without end', () => {
  for (const [name, begin, isStream] of [
    ['in the head', 'HTTP/1.1 200 OK\r\nx: ', false],
    ['before the head', '', false],
    ['in a body', `${HEAD}\r\n`, false],
    ['in an event', `${HEAD}\r\nid: 1\ndata: `, true],
    ['after an event', `${HEAD}\r\nid: 1\ndata: a\n\n`, true],
  ] as const) {
    it(`${name} is broken off and its connection closed`, async () => {
      const {result, sentBytes} = await runAttempt(begin, isStream);
      assert.is(result.end, 'broken');
      assert.ok(sentBytes < MAXIMUM_BODY_BYTES + BUFFERED_BYTES, result.reason);
    });
  }

  it('does not hold back the events before it', async () => {
    const {events} = await runAttempt(`${HEAD}\r\nid: 1\ndata: a\n\n`, true);
    assert.is(events, 1);
  });
});

/** Body in chunks of five bytes, as long as one that is buffered may be. */
const SMALL_CHUNK = '5\r\nnoise\r\n';
const SMALL_CHUNKS_PER_WRITE = 2000;
/** The buffered body, grown by doubling, and the buffers of the connection. */
const HELD_LIMIT_BYTES = 6 * MAXIMUM_BODY_BYTES;

describe('an answer in small chunks', () => {
  // Guards against a process that ends by its heap limit: each chunk that is kept
  // by itself costs over a hundred bytes.
  it('holds about the bytes of its body', async () => {
    const bytes = Buffer.from(SMALL_CHUNK.repeat(SMALL_CHUNKS_PER_WRITE));
    const bodyBytes = MAXIMUM_BODY_BYTES - SMALL_CHUNKS_PER_WRITE * 5;
    const writes = bodyBytes / (SMALL_CHUNKS_PER_WRITE * 5);
    let receivedBytes = 0;
    const server = createServer(socket => {
      socket.on('error', () => undefined);
      socket.write(`${HEAD}Transfer-Encoding: chunked\r\n\r\n`);
      for (let count = 0; count < writes; count++) {
        socket.write(bytes);
      }
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const agent = new Agent();
    const before = measureHeldBytes();
    const attempt = startAttempt({
      agent,
      address: `127.0.0.1:${port}`,
      method: 'POST',
      url: '/a/',
      headers: ['host', 'a'],
      body: Buffer.alloc(0),
      requestId: 'r1',
      dialect: testDialect,
      maximumBodyBytes: MAXIMUM_BODY_BYTES,
      onActivity: () => (receivedBytes += 5),
    });
    while (receivedBytes < bodyBytes) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    const heldBytes = measureHeldBytes() - before;
    attempt.abort('deadline');
    const result = await attempt.result;
    agent.destroy();
    server.close();
    assert.is(result.body?.length, bodyBytes);
    assert.ok(heldBytes < HELD_LIMIT_BYTES, `${heldBytes} bytes`);
  });
});

/** An event may reach its caller this long after the server sent it. */
const TURN_LIMIT_MS = 120;
const FLOOD_MS = 1500;
const FLOOD_BYTES = 65_536;
const FLOODING_SERVERS = 4;
const FLOOD_START_INTERVAL_MS = 100;

/**
 * Reads for how long this thread was ready to run while the machine ran others, in
 * milliseconds. On a busy machine a turn of 36 ms took 153 ms for it.
 */
function readRunDelayMs(): number {
  const [, delayNs] = readFileSync('/proc/thread-self/schedstat', 'utf8').split(
    ' ',
  );
  return Number(delayNs) / 1e6;
}

/** Returns the longest time for which nothing else could run in this thread. */
async function measureLongestTurn(
  run: () => Promise<unknown>,
): Promise<number> {
  const readTime = () => performance.now() - readRunDelayMs();
  let longestMs = 0;
  let lastAt = readTime();
  function recordTurn(): void {
    const now = readTime();
    longestMs = Math.max(longestMs, now - lastAt);
    lastAt = now;
  }
  const timer = setInterval(recordTurn, 1);
  await run();
  recordTurn();
  clearInterval(timer);
  return longestMs;
}

/** Runs streams at servers, in a thread of their own, that repeat a piece without end. */
async function runFloodedStreams(head: string, piece: string): Promise<void> {
  const worker = new Worker(
    `const {workerData, parentPort} = require('node:worker_threads');
    const bytes = Buffer.from(workerData.piece.repeat(workerData.count));
    require('node:net').createServer(socket => {
      socket.on('error', () => undefined);
      socket.write(workerData.head);
      const fill = () => { while (!socket.destroyed && socket.write(bytes)); };
      socket.on('drain', fill);
      fill();
    }).listen(0, '127.0.0.1', function () {
      parentPort.postMessage(this.address().port);
    });`,
    {
      eval: true,
      workerData: {
        head,
        piece,
        count: Math.ceil(FLOOD_BYTES / piece.length),
      },
    },
  );
  const port = await new Promise(resolve => worker.once('message', resolve));
  const pool = createServerConnections();
  const attempts: Attempt[] = [];
  for (let count = 0; count < FLOODING_SERVERS; count++) {
    attempts.push(
      startAttempt({
        agent: pool.agent,
        address: `127.0.0.1:${port}`,
        method: 'POST',
        url: '/a/',
        headers: ['host', 'a'],
        body: Buffer.alloc(0),
        requestId: 'r1',
        dialect: testDialect,
        maximumBodyBytes: 100 * MAXIMUM_BODY_BYTES,
        sink: {acceptHead: () => undefined, acceptEvents: () => true},
      }),
    );
    await new Promise(resolve => setTimeout(resolve, FLOOD_START_INTERVAL_MS));
  }
  await new Promise(resolve => setTimeout(resolve, FLOOD_MS));
  attempts.forEach(attempt => attempt.abort('deadline'));
  await Promise.all(attempts.map(attempt => attempt.result));
  pool.close();
  await worker.terminate();
}

describe('the event loop under four answers without end', () => {
  // Guards against a process that answers nobody while one server floods it.
  for (const [name, status, piece] of [
    ['one event in small chunks', '200 OK', '5\r\nnoise\r\n'],
    ['a body in small chunks', '500 Error', '5\r\nnoise\r\n'],
    ['a body in chunks of one byte', '500 Error', '1\r\nx\r\n'],
    ['events in small chunks', '200 OK', '7\r\nid: 1\n\n\r\n'],
    ['events in large chunks', '200 OK', `4000\r\n${'\n\n'.repeat(8192)}\r\n`],
  ] as const) {
    it(`has short turns: ${name}`, async () => {
      const head = `HTTP/1.1 ${status}\r\nid: r1\r\nseal: s\r\nTransfer-Encoding: chunked\r\n\r\n`;
      const longestMs = await measureLongestTurn(() =>
        runFloodedStreams(head, piece),
      );
      assert.ok(longestMs < TURN_LIMIT_MS, `${longestMs} ms`);
    });
  }
});
