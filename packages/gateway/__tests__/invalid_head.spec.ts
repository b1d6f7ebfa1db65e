/** Answers of servers whose head is not one of HTTP, through a gateway on loopback. */
import type {Socket} from 'node:net';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {RouteKind} from '../src/model.js';
import type {Route} from '../src/model.js';
import {openSocket, startCallerGateway} from './support/caller_gateway.js';
import {
  createRelayFixture,
  encodeAnswer,
  startRawServer,
} from './support/relay_fixture.js';

const OWN_HEADERS = ['id: r1', 'seal: s'];
const BODY = 'id: 1\ndata: 1\n\n';
const DEADLINE_MS = 1500;
/** Above the deadline; a caller then has no answer. */
const ANSWER_LIMIT_MS = 3000;
const INFORMATIONAL_INTERVAL_MS = 10;

const ROUTES: Readonly<Record<string, Partial<Route>>> = {
  'an unsafe request': {kind: RouteKind.UNSAFE},
  'a safe request': {kind: RouteKind.SAFE},
  'a stream': {kind: RouteKind.STREAM},
  'a stream that can be resumed': {kind: RouteKind.STREAM, isResumable: true},
};

/** Writes the text again and again until the connection is closed. */
function writeRepeatedly(socket: Socket, text: string): void {
  const timer = setInterval(() => {
    if (socket.destroyed) {
      clearInterval(timer);
    } else {
      socket.write(text);
    }
  }, INFORMATIONAL_INTERVAL_MS);
}

function writeStatus(status: string): (socket: Socket) => void {
  return socket => socket.write(encodeAnswer(status, OWN_HEADERS, BODY));
}

function writeHeader(header: string): (socket: Socket) => void {
  return socket =>
    socket.write(encodeAnswer('200 OK', [...OWN_HEADERS, header], BODY));
}

const heads: Readonly<Record<string, (socket: Socket) => void>> = {
  'status 000': writeStatus('000 None'),
  'status 001': writeStatus('001 One'),
  'status 099': writeStatus('099 Low'),
  'status 99': writeStatus('99 Short'),
  'status 600': writeStatus('600 High'),
  'status 999': writeStatus('999 Highest'),
  'status 1000': writeStatus('1000 Long'),
  'status 20': writeStatus('20 Short'),
  'a negative status': writeStatus('-200 Negative'),
  'a status with a letter': writeStatus('2x0 Letter'),
  'a status without digits': writeStatus('abc Letters'),
  'no status': writeStatus(''),
  'status 101 for no upgrade': writeStatus('101 Switching'),
  'status 101 with an upgrade': socket =>
    socket.write(
      'HTTP/1.1 101 Switching\r\nid: r1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n',
    ),
  'another protocol': socket => socket.write('ICY 200 OK\r\n\r\n'),
  'version 9.9': socket =>
    socket.write(
      encodeAnswer('200 OK', OWN_HEADERS, BODY).replace('/1.1', '/9.9'),
    ),
  'two lengths': writeHeader('Content-Length: 3'),
  'a length without digits': socket =>
    socket.write('HTTP/1.1 200 OK\r\nid: r1\r\nContent-Length: x\r\n\r\n'),
  'a control character in a value': writeHeader('x: a\u0001b'),
  'a space in a name': writeHeader('x y: a'),
  'a name with a letter beyond ASCII': writeHeader('x\u00e9: a'),
  'a line without a colon': writeHeader('nothing'),
  '100 without end': socket =>
    writeRepeatedly(socket, 'HTTP/1.1 100 Continue\r\n\r\n'),
  '103 without end, many at once': socket =>
    writeRepeatedly(socket, 'HTTP/1.1 103 Early\r\nid: r1\r\n\r\n'.repeat(500)),
};

/** Sends a request through a gateway whose only server answers with the head. */
async function sendToOnly(
  write: (socket: Socket) => void,
  route: Partial<Route>,
): Promise<string> {
  const server = await startRawServer({
    onRequest: (_, socket) => write(socket),
  });
  const gateway = await startCallerGateway({
    backendPort: Number(server.address.split(':')[1]),
    deadlineMs: DEADLINE_MS,
    route,
  });
  const socket = await openSocket(gateway.port);
  socket.write('POST /a/ HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n\r\n');
  const answer = await new Promise<string>(resolve => {
    const timer = setTimeout(() => resolve('no answer'), ANSWER_LIMIT_MS);
    const settle = (text: string) => {
      clearTimeout(timer);
      resolve(text);
    };
    socket.once('data', bytes => settle(bytes.toString()));
    socket.once('close', () => settle('closed'));
  });
  socket.destroy();
  gateway.close();
  server.close();
  return answer;
}

describe('an answer with an invalid head', () => {
  for (const [name, write] of Object.entries(heads)) {
    for (const [routeName, route] of Object.entries(ROUTES)) {
      // Guards against a status that the server made up, a 500 and a closed connection.
      it(`with ${name} leaves ${routeName} with 502`, async () => {
        const answer = await sendToOnly(write, route);
        assert.match(answer, /^HTTP\/1.1 502 /);
        assert.match(answer, '"outcome":"unknown"');
      });
    }

    // Guards against a repeatable request that ends with the failure of one server.
    it(`with ${name} leaves a safe request to another server`, async () => {
      const server = await startRawServer({
        onRequest: (_, socket) => write(socket),
      });
      const other = await startRawServer({
        onRequest: (_, socket) => writeStatus('200 OK')(socket),
      });
      const relay = createRelayFixture({
        addresses: {s0: server.address, s1: other.address},
        route: {kind: RouteKind.SAFE},
      });
      const answer = await relay.send('r1');
      relay.close();
      server.close();
      other.close();
      assert.equal(answer.report.servers, ['s0', 's1']);
      assert.is(answer.status, 200);
      assert.is(answer.body, BODY);
    });
  }
});

describe('an answer with informational heads before it', () => {
  // Guards against a sound server whose interim answers pass for a fault.
  for (const count of [1, 8]) {
    it(`is passed on after ${count}`, async () => {
      const answer = await sendToOnly(
        socket => {
          socket.write('HTTP/1.1 102 Processing\r\n\r\n'.repeat(count));
          writeStatus('200 OK')(socket);
        },
        {kind: RouteKind.UNSAFE},
      );
      assert.match(answer, /^HTTP\/1.1 200 /);
    });
  }
});
