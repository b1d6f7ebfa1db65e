/** Ends of callers' connections: parser errors, refusals and the last byte. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

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

/** Time in which a refused caller may go on sending. */
const LINGER_MS = 500;
const LINGER_POLL_MS = 50;

/** Options of {@link keepForRefusal}. */
export interface RefusalOptions {
  /** Bytes that are dropped before the connection is closed. */
  maximumBytes: number;
}

/**
 * Reads on for a moment after the refusal of a body that is still being sent. A
 * connection that is closed with unread bytes is reset, and its caller may not get
 * the refusal.
 */
export function keepForRefusal(
  {socket}: IncomingMessage,
  response: ServerResponse,
  {maximumBytes}: RefusalOptions,
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
