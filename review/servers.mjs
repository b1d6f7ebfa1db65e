/** Stand-in for a backend server of a service without an engine. */
import {createServer} from 'node:http';

/** Mean of the plain services on the page of the site. */
const WORK_MS = 43;

/**
 * Starts a sound server on a free loopback port. `onRun` is called with each
 * request that it begins to run.
 */
export async function startServer({id, service, onRun, answer}) {
  function sendNotRun(response, status, headers = {}) {
    response.writeHead(status, {'content-length': '0', ...headers});
    response.end();
  }

  async function handle(request, response) {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const {headers} = request;
    const requestId = headers['x-request-id'];
    if (!requestId) {
      sendNotRun(response, 400, {'x-not-run': '1'});
      return;
    }
    if ((headers['x-expect-instance'] ?? id) !== id) {
      sendNotRun(response, 421, {'x-request-id': requestId});
      return;
    }
    const body = Buffer.concat(chunks);
    const run = {
      server: id,
      service,
      id: requestId,
      method: request.method,
      url: request.url,
      tenant: headers['x-tenant'],
      body: body.toString('latin1'),
      at: Date.now(),
    };
    onRun(run);
    if (answer?.(run, request, response)) {
      return;
    }
    setTimeout(() => {
      const text = `answer to ${requestId}`;
      response.writeHead(200, {
        'x-request-id': requestId,
        'x-server-seal': `${id}.${requestId}`,
        'content-length': String(Buffer.byteLength(text)),
      });
      response.end(text);
    }, WORK_MS);
  }

  const server = createServer((request, response) => {
    response.on('error', () => undefined);
    if (request.url === '/health') {
      request.resume();
      response.writeHead(200, {'x-instance-id': id});
      response.end();
      return;
    }
    handle(request, response).catch(() => response.destroy());
  });
  server.on('clientError', (_, socket) => {
    socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\n\r\n');
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${server.address().port}`;
  return {
    id,
    address,
    entry: {
      service,
      address,
      zone: 'tn-north-a',
      version: '1',
      slots: 6,
      state: 'ready',
      'cold-left-ms': 0,
      sequence: 1,
      born: Date.now(),
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
