/** Limits the number and buffered bytes of open requests, over all callers. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {RouterError} from '@buckthornbeam/shared';
import type {RequestLimits} from '@buckthornbeam/config';

/** Accounts for the buffered body of one open request. */
export interface RequestPermit {
  /**
   * Counts received bytes of the body as buffered until the response closes.
   *
   * @throws RouterError `entry_full` over the limit, `cancelled` once the
   * response has closed
   */
  addBytes(byteCount: number): void;
}

/** Admits requests and ends responses that the caller does not read. */
export interface RequestLimiter {
  /**
   * Counts a request as open until its response closes.
   *
   * @throws RouterError `entry_full` when too many requests are open
   */
  open(request: IncomingMessage, response: ServerResponse): void;
  getPermit(request: IncomingMessage): RequestPermit;
  countOpen(): number;
  countBufferedBytes(): number;
  /** Stops checking for stalled responses. */
  close(): void;
}

interface OpenRequest {
  response: ServerResponse;
  bufferedBytes: number;
  /** Bytes that the socket had sent at the last check. */
  sentBytes: number;
}

/** Time for which an unfinished body is still drained after the response. */
const LINGER_MS = 1000;

const RETRY_AFTER_MS = 1000;

function makeFullError(detail: string): RouterError {
  return new RouterError('entry_full', detail, {retryAfterMs: RETRY_AFTER_MS});
}

/**
 * Closes the connection after a delay if the caller is still sending its body.
 * Without the close, such a caller would occupy the connection; an immediate
 * close could discard the response before the caller has read it.
 */
function closeAfterLinger(request: IncomingMessage): void {
  if (request.complete) {
    return;
  }
  const timer = setTimeout(() => {
    if (!request.complete) {
      request.socket.destroy();
    }
  }, LINGER_MS);
  timer.unref();
}

/** Ends a response if the caller has read nothing since the last check. */
function endIfStalled(open: OpenRequest): void {
  const {response} = open;
  const sentBytes = response.socket?.bytesWritten ?? 0;
  if (response.writableNeedDrain && sentBytes === open.sentBytes) {
    response.destroy();
  }
  open.sentBytes = sentBytes;
}

/** Creates a limiter; it checks for stalled responses until closed. */
export function createRequestLimiter(limits: RequestLimits): RequestLimiter {
  const openRequests = new Map<IncomingMessage, OpenRequest>();
  let bufferedBytes = 0;

  const timer = setInterval(() => {
    for (const open of openRequests.values()) {
      endIfStalled(open);
    }
  }, limits.writeTimeoutMs);
  timer.unref();

  function release(request: IncomingMessage): void {
    const open = openRequests.get(request);
    openRequests.delete(request);
    bufferedBytes -= open?.bufferedBytes ?? 0;
    closeAfterLinger(request);
  }

  function addBytes(request: IncomingMessage, byteCount: number): void {
    const open = openRequests.get(request);
    if (!open) {
      throw new RouterError('cancelled', 'the caller disconnected');
    }
    if (bufferedBytes + byteCount > limits.maximumBufferedBytes) {
      throw makeFullError('too many bytes of request bodies are buffered');
    }
    open.bufferedBytes += byteCount;
    bufferedBytes += byteCount;
  }

  return {
    open: (request, response) => {
      if (openRequests.size >= limits.maximumOpenRequests) {
        closeAfterLinger(request);
        throw makeFullError('too many requests are open');
      }
      const sentBytes = response.socket?.bytesWritten ?? 0;
      openRequests.set(request, {response, bufferedBytes: 0, sentBytes});
      response.once('close', () => release(request));
    },
    getPermit: request => ({
      addBytes: byteCount => addBytes(request, byteCount),
    }),
    countOpen: () => openRequests.size,
    countBufferedBytes: () => bufferedBytes,
    close: () => clearInterval(timer),
  };
}
