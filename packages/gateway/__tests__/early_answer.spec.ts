/**
 * A server that answers with a 200 without a length, before, while or after it reads a
 * long upload, and then resets, ends or goes silent; through a gateway on loopback.
 */
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {RouteKind} from '../src/model.js';
import type {Route} from '../src/model.js';
import {openSocket, startCallerGateway} from './support/caller_gateway.js';
import {createConfiguration} from './support/fixtures.js';
import {createRelayFixture} from './support/relay_fixture.js';

const HOST = '127.0.0.1';
/** More than the buffers of a connection on loopback hold. */
const UPLOAD = Buffer.alloc(8_000_000, 'u');
const EVENT = 'id: 1\ndata: 1\n\n';
const EARLY_ANSWER = `HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\n${EVENT}`;
const SOUND_BODY = 'id: 2\ndata: 2\n\n';
const SOUND_ANSWER = `HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: ${SOUND_BODY.length}\r\n\r\n${SOUND_BODY}`;
const DEADLINE_MS = 500;
/** Time between the answer and what follows it. */
const FOLLOW_MS = 20;
const HEAD_END = '\r\n\r\n';

const ROUTES: Readonly<Record<string, Partial<Route>>> = {
  'an unsafe request': {kind: RouteKind.UNSAFE},
  'a safe request': {kind: RouteKind.SAFE},
  'a stream': {kind: RouteKind.STREAM},
  'a stream that can be resumed': {kind: RouteKind.STREAM, isResumable: true},
};

/** Bytes of the upload that the server reads before it answers. */
const STEPS: Readonly<Record<string, number>> = {
  'before the upload': 0,
  'during the upload': UPLOAD.length / 4,
  'after the upload': UPLOAD.length,
};

const RESET_AT_ONCE = 'a reset at once';
const FOLLOWS: Readonly<Record<string, (socket: Socket) => void>> = {
  // Read together with the data, which node:http takes for a regular end.
  [RESET_AT_ONCE]: socket => socket.resetAndDestroy(),
  'a reset': socket => socket.resetAndDestroy(),
  'a close without reading on': socket => socket.destroy(),
  'an end, reading on': socket => {
    socket.end();
    socket.resume();
  },
  'silence, reading on': socket => socket.resume(),
  silence: () => undefined,
};

/** Starts a server that answers the first request early, and later ones soundly. */
async function startEarlyServer(readBytes: number, follow: string) {
  const sockets = new Set<Socket>();
  let connections = 0;
  const state = {readAtAnswer: 0};

  function readRequest(socket: Socket, answer: () => void, limit: number) {
    let read = 0;
    let bodyStart = -1;
    let isAnswered = false;
    socket.on('data', bytes => {
      if (bodyStart < 0) {
        const headEnd = bytes.indexOf(HEAD_END);
        bodyStart = headEnd + HEAD_END.length;
        read -= bodyStart;
      }
      read += bytes.length;
      state.readAtAnswer = isAnswered ? state.readAtAnswer : read;
      if (read >= limit && !isAnswered) {
        isAnswered = true;
        answer();
      }
    });
  }

  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    connections += 1;
    if (connections > 1) {
      readRequest(socket, () => socket.write(SOUND_ANSWER), UPLOAD.length);
      return;
    }
    const answerEarly = () => {
      socket.pause();
      const delayMs = follow === RESET_AT_ONCE ? 0 : FOLLOW_MS;
      socket.write(EARLY_ANSWER, () =>
        setTimeout(() => FOLLOWS[follow]!(socket), delayMs),
      );
    };
    readRequest(socket, answerEarly, readBytes);
  });
  await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
  return {
    port: (server.address() as AddressInfo).port,
    state,
    close: () => {
      sockets.forEach(socket => socket.destroy());
      server.close();
    },
  };
}

/** What a caller reads; `isComplete` by the framing of the answer. */
interface CallerAnswer {
  status: number;
  body: string;
  isComplete: boolean;
}

function parseAnswer(text: string): CallerAnswer {
  const headEnd = text.indexOf(HEAD_END);
  const head = text.slice(0, headEnd);
  const rest = text.slice(headEnd + HEAD_END.length);
  const status = Number(/^HTTP\/1.1 (\d+)/.exec(head)?.[1] ?? 0);
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  if (headEnd < 0) {
    return {status: 0, body: '', isComplete: false};
  }
  if (length !== undefined) {
    return {status, body: rest, isComplete: rest.length >= Number(length)};
  }
  const chunks = [...rest.matchAll(/([0-9a-f]+)\r\n([^\r]*)\r\n/g)];
  const body = chunks.map(([, , data]) => data).join('');
  return {status, body, isComplete: rest.endsWith('0\r\n\r\n')};
}

/** Sends an upload on the connection and reads until the answer or the connection ends. */
async function sendUpload(
  socket: Socket,
  isKept: boolean,
): Promise<CallerAnswer> {
  let text = '';
  const ended = new Promise<void>(resolve => {
    const read = (bytes: Buffer) => {
      text += bytes.toString();
      if (parseAnswer(text).isComplete) {
        socket.off('data', read);
        resolve();
      }
    };
    socket.on('data', read);
    socket.once('close', () => resolve());
  });
  socket.write(
    `POST /a/ HTTP/1.1\r\nHost: host\r\nContent-Length: ${UPLOAD.length}\r\n` +
      `${isKept ? '' : 'Connection: close\r\n'}\r\n`,
  );
  socket.write(UPLOAD);
  await ended;
  return parseAnswer(text);
}

/** What the caller may get of an answer that was cut, or of a whole one. */
function checkAnswer(
  {status, body, isComplete}: CallerAnswer,
  isWhole: boolean,
  mayBeWhole: boolean,
): void {
  if (status === 200 && isComplete) {
    assert.ok(mayBeWhole, 'a cut answer looks complete');
    assert.is(body, EVENT);
    return;
  }
  assert.not(isWhole, `status ${status} for a whole answer`);
  if (status === 200) {
    assert.ok(EVENT.startsWith(body), body);
  } else {
    assert.ok(status === 502 || status === 504, `status ${status}`);
    assert.ok(isComplete, 'a broken error');
  }
}

describe('an early 200 without a length', () => {
  for (const [step, readBytes] of Object.entries(STEPS)) {
    for (const follow of Object.keys(FOLLOWS)) {
      const isRead = readBytes === UPLOAD.length;
      const isEnd = follow === 'an end, reading on';
      // A close with unread bytes resets the connection; one without them ends it.
      // An end without a length while the upload is written may be a cut: 502 is allowed.
      const mayBeWhole = isEnd || (isRead && follow.startsWith('a close'));
      for (const [name, route] of Object.entries(ROUTES)) {
        for (const isKept of [true, false]) {
          const kept = isKept ? 'kept' : 'closed';
          // Guards against a cut answer that looks complete, and a wrong status.
          it(`${step}, then ${follow}: ${name}, ${kept}`, async () => {
            const server = await startEarlyServer(readBytes, follow);
            const limits = {
              ...createConfiguration().limits,
              maximumBodyBytes: 2 * UPLOAD.length,
            };
            const gateway = await startCallerGateway({
              backendPort: server.port,
              deadlineMs: DEADLINE_MS,
              route: {...route, maximumServers: 1},
              changes: {
                getLimits: () => limits,
                maximumHeldBytes: 4 * UPLOAD.length,
              },
            });
            const socket = await openSocket(gateway.port);
            try {
              const answer = await sendUpload(socket, isKept);
              const isUploading = server.state.readAtAnswer < UPLOAD.length;
              assert.is(isUploading, !isRead, 'answered at the step');
              checkAnswer(answer, isEnd && isRead, mayBeWhole);
              if (isKept && answer.isComplete) {
                const next = await sendUpload(socket, true);
                assert.is(next.status, 200, 'the next request is served');
                assert.is(next.body, SOUND_BODY);
              }
            } finally {
              socket.destroy();
              gateway.close();
              server.close();
            }
          });
        }
      }

      if (!mayBeWhole) {
        // Guards against the answer of one server with bytes of another before it.
        it(`${step}, then ${follow}: a safe request gets another server's`, async () => {
          const server = await startEarlyServer(readBytes, follow);
          const sound = await startEarlyServer(0, 'silence');
          await useUpEarlyAnswer(sound.port);
          const relay = createRelayFixture({
            addresses: {
              s0: `${HOST}:${server.port}`,
              s1: `${HOST}:${sound.port}`,
            },
            route: {kind: RouteKind.SAFE},
          });
          const answer = await relay.send('r1', UPLOAD);
          relay.close();
          server.close();
          sound.close();
          assert.equal(answer.report.servers, ['s0', 's1']);
          assert.is(answer.status, 200);
          assert.is(answer.body, SOUND_BODY);
        });
      }
    }
  }
});

/** Opens a first connection, so that the server answers the next ones soundly. */
async function useUpEarlyAnswer(port: number): Promise<void> {
  const socket = await openSocket(port);
  await waitFor(FOLLOW_MS);
  socket.destroy();
}

describe('a stream that is cut, to a caller of HTTP/1.0', () => {
  // Guards against a cut stream that looks complete: the end of the connection is that
  // of the answer, so that only a reset tells them apart.
  it('ends with a reset of the connection', async () => {
    const server = await startEarlyServer(0, 'a reset');
    const gateway = await startCallerGateway({
      backendPort: server.port,
      deadlineMs: DEADLINE_MS,
      route: {kind: RouteKind.STREAM},
    });
    const socket = await openSocket(gateway.port);
    let text = '';
    socket.on('data', bytes => (text += bytes.toString()));
    const end = new Promise<string>(resolve => {
      socket.once('end', () => resolve('end'));
      socket.once('error', error =>
        resolve((error as NodeJS.ErrnoException).code ?? ''),
      );
    });
    socket.write(
      'POST /a/ HTTP/1.0\r\nHost: host\r\nContent-Length: 0\r\n\r\n',
    );
    const how = await end;
    gateway.close();
    server.close();
    assert.match(text, EVENT);
    assert.is(how, 'ECONNRESET');
  });
});
