/**
 * The bytes that leave for a backend server, by method, framing and body of the
 * caller's request, and requests that two readers of HTTP could read in two ways.
 */
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  HOST,
  openSocket,
  startCallerGateway,
} from './support/caller_gateway.js';

const ANSWER =
  'HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n';
const SETTLE_MS = 30;
const ANSWER_LIMIT_MS = 3000;

const METHODS = [
  'GET',
  'HEAD',
  'DELETE',
  'OPTIONS',
  'TRACE',
  'POST',
  'PUT',
  'PATCH',
  'PROPFIND',
  'SEARCH',
];

/** A request of another customer, as a body. */
const INNER =
  'POST /a/inner HTTP/1.1\r\nHost: host\r\nid: inner\r\nContent-Length: 0\r\n\r\n';

/** Framings of a caller's request, as the headers and the bytes of the body. */
const framings: Readonly<Record<string, (body: string) => [string, string]>> = {
  'by length': body => [`Content-Length: ${body.length}\r\n`, body],
  'in chunks': body => [
    'Transfer-Encoding: chunked\r\n',
    `${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
  ],
  'in chunks with a trailer': body => [
    'Transfer-Encoding: chunked\r\nTrailer: x-a\r\n',
    `${body.length.toString(16)}\r\n${body}\r\n0\r\nx-a: 1\r\n\r\n`,
  ],
};

interface Relayed {
  /** Bytes that reached the server. */
  sent: string;
  /** Bytes that reached the caller. */
  answer: string;
}

/** Sends the bytes of a request to a gateway before a server that records its own. */
async function relayBytes(bytes: string): Promise<Relayed> {
  let sent = '';
  const sockets = new Set<Socket>();
  const backend = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', received => {
      sent += received.toString('latin1');
      // Whatever follows the request has arrived by then.
      setTimeout(() => socket.end(ANSWER), SETTLE_MS);
    });
  });
  await new Promise<void>(resolve => backend.listen(0, HOST, () => resolve()));
  const gateway = await startCallerGateway({
    backendPort: (backend.address() as AddressInfo).port,
  });
  const caller = await openSocket(gateway.port);
  let answer = '';
  caller.on('data', received => (answer += received.toString('latin1')));
  caller.write(Buffer.from(bytes, 'latin1'));
  const endsAt = Date.now() + ANSWER_LIMIT_MS;
  while (
    !answer.includes('\r\n\r\n') &&
    !caller.closed &&
    Date.now() < endsAt
  ) {
    await new Promise(resolve => setTimeout(resolve, 5));
  }
  caller.destroy();
  gateway.close();
  sockets.forEach(socket => socket.destroy());
  backend.close();
  return {sent, answer};
}

function splitMessage(bytes: string): [head: string, body: string] {
  const end = bytes.indexOf('\r\n\r\n') + 4;
  return [bytes.slice(0, end), bytes.slice(end)];
}

describe('the framing of a request to a server', () => {
  // Guards against a body that a server runs as a request of its own.
  for (const method of METHODS) {
    for (const [name, frame] of Object.entries(framings)) {
      it(`has the length of the body: ${method} ${name}`, async () => {
        const [header, body] = frame(INNER);
        const {sent} = await relayBytes(
          `${method} /a/ HTTP/1.1\r\nHost: host\r\n${header}\r\n${body}`,
        );
        const [head, sentBody] = splitMessage(sent);
        assert.match(head, new RegExp(`^${method} /a/ HTTP/1.1\r\n`));
        assert.equal(head.match(/^content-length: .*$/gim), [
          `Content-Length: ${INNER.length}`,
        ]);
        assert.not.match(head, /transfer-encoding|trailer/i);
        assert.is(sentBody, INNER);
      });
    }

    it(`states no other length without a body: ${method}`, async () => {
      const {sent} = await relayBytes(
        `${method} /a/ HTTP/1.1\r\nHost: host\r\n\r\n`,
      );
      const [head, body] = splitMessage(sent);
      assert.match(head, new RegExp(`^${method} /a/ HTTP/1.1\r\n`));
      assert.not.match(head, /content-length: [^0]|transfer-encoding/i);
      assert.is(body, '');
    });
  }
});

/** Heads that one reader may frame in another way than the next one. */
const ambiguousHeads: Readonly<Record<string, string>> = {
  'a length and chunks': 'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n',
  'chunks and a length': 'Transfer-Encoding: chunked\r\nContent-Length: 5\r\n',
  'two lengths': 'Content-Length: 5\r\nContent-Length: 6\r\n',
  'a list of lengths': 'Content-Length: 5, 5\r\n',
  'a length with a sign': 'Content-Length: +5\r\n',
  'a negative length': 'Content-Length: -5\r\n',
  'a length in hexadecimal': 'Content-Length: 0x5\r\n',
  'an empty length': 'Content-Length: \r\n',
  'a length of 30 digits': `Content-Length: ${'9'.repeat(30)}\r\n`,
  'a space before the colon': 'Content-Length : 5\r\n',
  'a folded header': 'X-A: 1\r\n Content-Length: 5\r\n',
  'a carriage return inside a header': 'X-A: 1\rContent-Length: 5\r\n',
  'a line that ends with a line feed only': 'X-A: 1\nContent-Length: 5\r\n',
  'a zero byte inside a header': 'X-A: 1\0\r\nContent-Length: 5\r\n',
  'an unknown transfer coding': 'Transfer-Encoding: xchunked\r\n',
  'chunks that are not the last coding':
    'Transfer-Encoding: chunked, identity\r\n',
};

describe('a request that can be read in two ways', () => {
  // Guards against a server that reads a part of a body as a request.
  for (const [name, header] of Object.entries(ambiguousHeads)) {
    it(`is refused and reaches no server: ${name}`, async () => {
      const {sent, answer} = await relayBytes(
        `POST /a/ HTTP/1.1\r\nHost: host\r\n${header}\r\n${INNER}`,
      );
      assert.match(answer, /^HTTP\/1\.1 (400|413) /);
      assert.is(sent, '');
    });
  }

  for (const [name, size] of Object.entries({
    'a sign': '+5',
    'a prefix of hexadecimal numbers': '0x5',
    'more digits than a number holds': 'fffffffffffffffff5',
    nothing: '',
  })) {
    it(`is refused and reaches no server: ${name} in a chunk size`, async () => {
      const {sent, answer} = await relayBytes(
        'POST /a/ HTTP/1.1\r\nHost: host\r\nTransfer-Encoding: chunked\r\n\r\n' +
          `${size}\r\nhello\r\n0\r\n\r\n`,
      );
      assert.match(answer, /^HTTP\/1\.1 400 /);
      assert.is(sent, '');
    });
  }
});
