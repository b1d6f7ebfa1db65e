/**
 * How far an answer is, and what arrives then: each combination, with the outcome
 * for the caller.
 */
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {startAttempt} from '../src/relay/attempt.js';
import type {AttemptResult} from '../src/relay/attempt.js';
import {createServerConnections} from '../src/relay/server_connections.js';
import {testDialect} from './support/fixtures.js';

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const IDENTITY = 'id: r1\r\nseal: s\r\n';
const EVENT = 'id: 1\ndata: a\n\n';
const EVENTS = EVENT + EVENT;

/** An event stream in one framing, as the bytes before and after its events. */
interface Framing {
  header: string;
  buildBody: (text: string) => string;
  end: string;
}

const framings: Readonly<Record<string, Framing>> = {
  length: {
    header: `Content-Length: ${EVENTS.length}\r\n`,
    buildBody: text => text,
    end: '',
  },
  chunks: {
    header: 'Transfer-Encoding: chunked\r\n',
    buildBody: text => `${text.length.toString(16)}\r\n${text}\r\n`,
    end: '0\r\n\r\n',
  },
  connection: {header: '', buildBody: text => text, end: ''},
};

/** How far an answer is: the bytes that were sent of it. */
const progresses: Readonly<Record<string, (framing: Framing) => string>> = {
  'before the head': () => '',
  'inside the status line': () => STATUS_LINE.slice(0, 12),
  'inside the head': () => STATUS_LINE + IDENTITY.slice(0, 10),
  'at the last byte of the head': ({header}) =>
    `${STATUS_LINE}${IDENTITY}${header}\r`,
  'between head and body': ({header}) =>
    `${STATUS_LINE}${IDENTITY}${header}\r\n`,
  'inside an event': ({header, buildBody}) =>
    `${STATUS_LINE}${IDENTITY}${header}\r\n` +
    buildBody(EVENT + EVENT.slice(0, 8)),
  'after an event': ({header, buildBody}) =>
    `${STATUS_LINE}${IDENTITY}${header}\r\n${buildBody(EVENT)}`,
  'after the last event': ({header, buildBody, end}) =>
    `${STATUS_LINE}${IDENTITY}${header}\r\n${buildBody(EVENTS)}${end}`,
};

/** A refusal with an id, as a faulty server may write it once more. */
function buildRefusal(id: string): string {
  return `HTTP/1.1 503 Busy\r\nid: ${id}\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n`;
}

/** What arrives then. */
const arrivals: Readonly<Record<string, (socket: Socket) => void>> = {
  end: socket => socket.end(),
  reset: socket => socket.resetAndDestroy(),
  silence: () => undefined,
  'an earlier refusal': socket => socket.write(buildRefusal('r0')),
  'an error with its head': socket =>
    socket.write(
      'HTTP/1.1 500 Error\r\nid: r1\r\nseal: s\r\nContent-Length: 5\r\n\r\nerror',
    ),
};

const SENT_MS = 15;
const SILENCE_MS = 60;
const ABORT_REASON = 'deadline';

interface Outcome {
  result: AttemptResult;
  received: string;
}

async function runAnswer(
  sent: string,
  arrive: (socket: Socket) => void,
): Promise<Outcome> {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(sent);
      setTimeout(() => arrive(socket), SENT_MS);
    });
  });
  await new Promise<void>(resolve =>
    server.listen(0, '127.0.0.1', () => resolve()),
  );
  const pool = createServerConnections();
  let received = '';
  const attempt = startAttempt({
    agent: pool.agent,
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    method: 'GET',
    url: '/',
    headers: ['Host', 'h'],
    body: Buffer.alloc(0),
    requestId: 'r1',
    dialect: testDialect,
    maximumBodyBytes: 1000,
    sink: {
      acceptHead: () => undefined,
      acceptEvents: events => {
        events.forEach(event => (received += event.bytes.toString()));
        return true;
      },
    },
  });
  const timer = setTimeout(() => attempt.abort(ABORT_REASON), SILENCE_MS);
  const result = await attempt.result;
  clearTimeout(timer);
  pool.close();
  sockets.forEach(socket => socket.destroy());
  server.close();
  return {result, received};
}

const WHOLE_ANSWER = 'an error with its head';

/** Whether an answer is complete by its own framing when this much was sent. */
function isComplete(framing: string, progress: string, arrival: string) {
  const expected: Readonly<Record<string, boolean>> = {
    // The error is then the answer.
    'before the head': arrival === WHOLE_ANSWER,
    // Without a length, an end after a whole event ends the stream.
    'after an event': framing === 'connection' && arrival === 'end',
    'after the last event': framing !== 'connection' || arrival === 'end',
  };
  return expected[progress] ?? false;
}

/**
 * Whether bytes that arrive are part of the body: without a length or chunks all
 * bytes after the head are, until the connection ends.
 */
function isPartOfBody(framing: string, progress: string): boolean {
  const hasHead = [
    'at the last byte of the head',
    'between head and body',
    'inside an event',
    'after an event',
    'after the last event',
  ];
  return framing === 'connection' && hasHead.includes(progress);
}

describe('an answer that breaks off', () => {
  for (const [framingName, framing] of Object.entries(framings)) {
    for (const [progress, buildSent] of Object.entries(progresses)) {
      for (const [arrival, arrive] of Object.entries(arrivals)) {
        // MIXED, ORDER, REFUSED: never complete, never refused, no bytes of another answer.
        it(`${progress}, framed by ${framingName}, then ${arrival}`, async () => {
          const {result, received} = await runAnswer(
            buildSent(framing),
            arrive,
          );
          const isExpected = isComplete(framingName, progress, arrival);
          assert.is(result.end === 'complete', isExpected, result.reason);
          assert.not.equal(result.end, 'not_run');
          assert.ok(
            EVENTS.startsWith(received) || isPartOfBody(framingName, progress),
            received,
          );
        });
      }
    }
  }
});
