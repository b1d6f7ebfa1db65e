/** Requests whose header fields no server can be sent, through a gateway on loopback. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {RouteKind} from '../src/model.js';
import {openSocket, startCallerGateway} from './support/caller_gateway.js';
import {encodeAnswer, startRawServer} from './support/relay_fixture.js';

const HEAD = 'POST /a/ HTTP/1.1\r\nHost: host\r\nContent-Length: 0\r\n';

async function sendHead(port: number, head: string): Promise<string> {
  const socket = await openSocket(port);
  socket.write(`${head}\r\n`);
  const answer = await new Promise<string>(resolve => {
    socket.once('data', bytes => resolve(bytes.toString()));
    socket.once('close', () => resolve('closed'));
  });
  socket.destroy();
  return answer;
}

describe('a request with a header name that cannot be sent', () => {
  // Guards against servers that count as unreachable for all callers: Node.js 20.19.0
  // accepts a name with a space and then refuses to write it.
  it('is refused, and the server stays in use', async () => {
    let requests = 0;
    const server = await startRawServer({
      onRequest: (_, socket) => {
        requests += 1;
        socket.write(encodeAnswer('200 OK', ['id: r1', 'seal: s'], 'good'));
      },
    });
    const gateway = await startCallerGateway({
      backendPort: Number(server.address.split(':')[1]),
      deadlineMs: 1500,
      route: {kind: RouteKind.SAFE},
    });
    assert.match(await sendHead(gateway.port, `${HEAD}x y: a\r\n`), / 400 /);
    assert.is(requests, 0);
    assert.match(await sendHead(gateway.port, HEAD), / 200 /);
    gateway.close();
    server.close();
  });
});
