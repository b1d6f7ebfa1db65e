/** Ends of callers' connections: parser errors, refusals and the last byte. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {RouterError} from '@buckthornbeam/shared';

/** Answers a request that the HTTP parser rejects and closes the connection. */
export function answerParserError(
  error: NodeJS.ErrnoException,
  socket: Socket,
): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const statuses: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
    ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  };
  const status = statuses[error.code ?? ''] ?? '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}

/**
 * Resolves when the answer is handed over, or its connection is closed. Answers to
 * pipelined requests that wait for an earlier one do not hear of the close.
 */
export async function waitForClose(
  socket: Socket,
  response: ServerResponse,
): Promise<void> {
  if (response.closed || socket.destroyed) {
    return;
  }
  await new Promise<void>(resolve => {
    function finish(): void {
      response.off('close', finish);
      socket.off('close', finish);
      resolve();
    }
    response.on('close', finish);
    socket.on('close', finish);
  });
}

/**
 * Reads and drops what the connection still brings, without parsing it. Unread bytes
 * would hide that the caller has closed the connection, and a body in pieces of one
 * byte takes seconds to parse.
 */
function readUnparsed(
  socket: Socket,
  countRead: (bytes: number) => void,
): void {
  socket.removeAllListeners('data');
  // The parser of node:http reads the connection itself until there is a new listener.
  socket.on('data', (bytes: Buffer) => countRead(bytes.length));
  socket.resume();
}

/** Time in which a refused caller may go on sending. */
const LINGER_MS = 500;
const LINGER_POLL_MS = 50;

/**
 * Reads on for a moment after the refusal of a body that is still being sent. A
 * connection that is closed with unread bytes is reset, and its caller may not get
 * the refusal.
 */
function keepForRefusal(
  socket: Socket,
  response: ServerResponse,
  maximumBytes: number,
): void {
  // node:http calls this after the last answer of a connection.
  socket.destroySoon = () => {
    if (socket.writable) {
      socket.end();
    }
  };
  // Answers to pipelined requests before it come first.
  response.once('finish', () => {
    const endsAtBytes = socket.bytesRead + maximumBytes;
    const timer = setTimeout(() => socket.destroy(), LINGER_MS);
    const poll = setInterval(() => {
      if (socket.bytesRead > endsAtBytes) {
        socket.destroy();
      }
    }, LINGER_POLL_MS);
    socket.once('close', () => {
      clearTimeout(timer);
      clearInterval(poll);
    });
  });
}

/** Options of {@link refuseRest}. */
export interface RefusalOptions {
  error: RouterError;
  /** Bytes that are dropped before the connection is closed. */
  maximumBytes: number;
  /** Counts the bytes that are dropped. */
  countRead: (bytes: number) => void;
}

/** Drops the rest of a body that is refused; its connection is closed after the answer. */
export function refuseRest(
  {socket}: IncomingMessage,
  response: ServerResponse,
  {error, maximumBytes, countRead}: RefusalOptions,
): void {
  // The parser would take unread bytes of the body for the next request.
  response.shouldKeepAlive = false;
  readUnparsed(socket, countRead);
  if (error.code === 'entry_full' || error.code === 'body_too_large') {
    keepForRefusal(socket, response, maximumBytes);
  }
}
