/** Bodies of callers' requests over real sockets. */
import {createServer} from 'node:http';
import {connect} from 'node:net';
import type {AddressInfo} from 'node:net';
import {describe, it, measureHeldBytes} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {readBody} from '../src/http/request_body.js';

const BODY_BYTES = 500_000;
const CHUNK = '1\r\nx\r\n';
const CHUNKS_PER_WRITE = 5000;
const IDLE_TIMEOUT_MS = 5000;
/** The buffered body, grown by doubling, and the buffers of the connection. */
const HELD_LIMIT_BYTES = 6 * BODY_BYTES;
const HEAD = 'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n';

describe('the body of a request', () => {
  // Guards against a caller that ends the process with one body: each chunk that
  // is kept by itself costs over a hundred bytes.
  it('holds about its size when it arrives byte by byte', async () => {
    let markReceived: (bytes: number) => void = () => undefined;
    const received = new Promise<number>(resolve => (markReceived = resolve));
    let receivedBytes = 0;
    const server = createServer((request, response) => {
      const body = readBody(request, {
        maximumBytes: BODY_BYTES,
        idleTimeoutMs: IDLE_TIMEOUT_MS,
      });
      request.on('data', (bytes: Buffer) => {
        receivedBytes += bytes.length;
        if (receivedBytes === BODY_BYTES) {
          markReceived(measureHeldBytes());
        }
      });
      void body.then(bytes => response.end(String(bytes.length)));
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const {port} = server.address() as AddressInfo;
    const before = measureHeldBytes();
    const socket = connect(port, '127.0.0.1');
    let answer = '';
    socket.on('data', bytes => (answer += bytes.toString()));
    socket.write(HEAD);
    const bytes = Buffer.from(CHUNK.repeat(CHUNKS_PER_WRITE));
    for (let sent = 0; sent < BODY_BYTES; sent += CHUNKS_PER_WRITE) {
      socket.write(bytes);
    }
    const heldBytes = (await received) - before;
    socket.write('0\r\n\r\n');
    while (!answer.includes(String(BODY_BYTES))) {
      await new Promise(resolve => setTimeout(resolve, 10));
    }
    socket.destroy();
    server.close();
    assert.ok(heldBytes < HELD_LIMIT_BYTES, `${heldBytes} bytes`);
  });
});
