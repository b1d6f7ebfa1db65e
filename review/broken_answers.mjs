/**
 * Raw server stand-in whose answers are sound, except for those of the requests that
 * `isBroken` selects: these never end, and come in chunks of a few bytes.
 */
import {createServer} from 'node:net';

const HEAD_END = '\r\n\r\n';
const LAST_CHUNK = '0\r\n\r\n';
/** Bytes of one write; as many chunks as fit. */
const WRITE_BYTES = 65_536;
const WORK_MS = 40;

/** Splits off the first complete request; undefined if there is none yet. */
function takeRequest(text) {
  const headEnd = text.indexOf(HEAD_END);
  if (headEnd < 0) {
    return undefined;
  }
  const head = text.slice(0, headEnd);
  let end = headEnd + HEAD_END.length;
  if (/transfer-encoding: chunked/i.test(head)) {
    const last = text.indexOf(LAST_CHUNK, headEnd);
    if (last < 0) {
      return undefined;
    }
    end = last + LAST_CHUNK.length;
  }
  return {head, rest: text.slice(end)};
}

function readHeader(head, name) {
  return new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1].trim();
}

/** Writes chunks without end, until the caller closes. */
function sendWithoutEnd(socket, piece) {
  const chunk = `${piece.length.toString(16)}\r\n${piece}\r\n`;
  const bytes = Buffer.from(
    chunk.repeat(Math.ceil(WRITE_BYTES / chunk.length)),
  );
  function fill() {
    while (!socket.destroyed && socket.write(bytes)) {
      // Until the connection takes no more for now.
    }
  }
  socket.on('drain', fill);
  fill();
}

/** Starts a server; `breakAnswer` returns the status of a broken answer, or 0. */
export async function startBrokenServer({
  id,
  service,
  onRun,
  breakAnswer,
  piece,
}) {
  const sockets = new Set();

  function answer(socket, head) {
    const [method, url] = head.split(' ');
    const requestId = readHeader(head, 'x-request-id');
    onRun({server: id, service, id: requestId, method, url, at: Date.now()});
    const common = `X-Request-Id: ${requestId}\r\nX-Server-Seal: ${id}.${requestId}\r\n`;
    const brokenStatus = breakAnswer(url);
    if (brokenStatus !== 0) {
      socket.write(
        `HTTP/1.1 ${brokenStatus} -\r\n${common}Transfer-Encoding: chunked\r\n\r\n`,
      );
      sendWithoutEnd(socket, piece);
      return;
    }
    const text = `id: 1\ndata: ${requestId}\n\n`;
    setTimeout(() => {
      socket.write(
        `HTTP/1.1 200 OK\r\n${common}Content-Length: ${text.length}\r\n\r\n${text}`,
      );
    }, WORK_MS);
  }

  const server = createServer(socket => {
    let text = '';
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => undefined);
    socket.on('data', bytes => {
      text += bytes.toString('latin1');
      for (let taken = takeRequest(text); taken; taken = takeRequest(text)) {
        text = taken.rest;
        answer(socket, taken.head);
      }
    });
  });
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve));
  const address = `127.0.0.1:${server.address().port}`;
  return {
    id,
    entry: {
      service,
      address,
      zone: 'tn-north-a',
      version: '1',
      slots: 64,
      state: 'ready',
      'cold-left-ms': 0,
      sequence: 1,
      born: Date.now(),
    },
    close: () => {
      sockets.forEach(socket => socket.destroy());
      server.close();
    },
  };
}
