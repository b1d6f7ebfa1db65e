/**
 * Stand-in for a sound backend server, as PROTOCOL describes it: it answers 421 to a
 * request for another server, drops a request whose connection closes, and echoes the id.
 * Streams are made of `events` events, `eventMs` apart.
 */
import {createServer} from 'node:http';

const SMALL_ANSWER = 'x'.repeat(800);

function buildSeal(serverId, requestId) {
  return `${serverId}.${requestId}`;
}

export async function startServer({
  id,
  host,
  service,
  zone,
  slots,
  workMs = 20,
  events = 25,
  eventMs = 20,
  record = () => undefined,
}) {
  const runs = [];
  let stage = 'ready';
  const startedAt = Date.now();

  function buildHead(requestId) {
    return {
      ...(requestId === undefined ? {} : {'X-Request-Id': requestId}),
      ...(stage === 'draining' ? {'Server-Leaving': '1'} : {}),
      'Keep-Alive': 'timeout=5',
    };
  }

  function answerStream(run, response) {
    response.writeHead(200, {
      ...buildHead(run.requestId),
      'X-Server-Seal': buildSeal(id, run.requestId),
      'Content-Type': 'text/event-stream',
    });
    const timer = setInterval(() => {
      run.events += 1;
      const event = `id: ${run.events}\ndata: ${run.requestId} ${run.events}\n\n`;
      if (run.events === events) {
        clearInterval(timer);
        run.isComplete = true;
        response.end(event);
      } else {
        response.write(event);
      }
    }, eventMs);
    response.on('close', () => clearInterval(timer));
  }

  function answerPlain(run, response) {
    setTimeout(() => {
      run.isComplete = true;
      response.writeHead(200, {
        ...buildHead(run.requestId),
        'X-Server-Seal': buildSeal(id, run.requestId),
        'Content-Length': SMALL_ANSWER.length,
      });
      response.end(SMALL_ANSWER);
    }, workMs);
  }

  function handleRequest(request, response, body) {
    const {headers, method, url} = request;
    const requestId = headers['x-request-id'];
    if (requestId === undefined) {
      response.writeHead(stage === 'ready' ? 200 : 503, {'X-Instance-Id': id});
      response.end();
      return;
    }
    const expected = headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, {...buildHead(requestId), 'X-Instance-Id': id});
      response.end();
      return;
    }
    const run = {
      serverId: id,
      requestId,
      method,
      url,
      bodyBytes: body.length,
      at: performance.now(),
      endedAt: undefined,
      events: 0,
      isComplete: false,
    };
    runs.push(run);
    record('server', 'runs', {server: id, zone, request: requestId});
    response.on('close', () => {
      run.endedAt = performance.now();
      record('server', run.isComplete ? 'answered' : 'connection closed', {
        server: id,
        request: requestId,
        events: run.events,
      });
    });
    if (headers['x-token-counts'] === undefined) {
      answerPlain(run, response);
    } else {
      answerStream(run, response);
    }
  }

  const server = createServer((request, response) => {
    const pieces = [];
    request.on('data', piece => pieces.push(piece));
    request.on('end', () =>
      handleRequest(request, response, Buffer.concat(pieces)),
    );
    response.on('error', () => undefined);
  });
  server.keepAliveTimeout = 6000;
  await new Promise(resolve => server.listen(0, host, resolve));
  const address = `${host}:${server.address().port}`;

  return {
    id,
    zone,
    address,
    runs,
    /** What the server writes under its key in the store. */
    buildEntry: () => ({
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: stage,
      'cold-left-ms': 0,
      sequence: 0,
      born: startedAt,
    }),
    /** From now on the server says that it leaves, and serves on. */
    beginLeaving: () => {
      stage = 'draining';
    },
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
