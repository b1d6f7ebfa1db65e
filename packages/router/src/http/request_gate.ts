/** Bounds on what open requests of callers can use up, over all of them. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import {RouterError} from '@buckthornbeam/shared';
import type {RequestLimits} from '@buckthornbeam/config';

/** Room that one open request takes up. */
export interface RequestPermit {
  /** Takes bytes of the body; throws when too many are buffered. */
  takeBytes(bytes: number): void;
}

/** Grants permits to requests and ends those that no longer move. */
export interface RequestGate {
  /** Throws `entry_full` when too many requests are open. */
  open(request: IncomingMessage, response: ServerResponse): void;
  getPermit(request: IncomingMessage): RequestPermit;
  countOpen(): number;
  countBufferedBytes(): number;
  close(): void;
}

interface OpenRequest {
  response: ServerResponse;
  bytes: number;
  /** Bytes that the socket had sent at the last look. */
  sentBytes: number;
}

/** Time that the rest of a refused body is read and dropped, in milliseconds. */
const LINGER_MS = 1000;

const RETRY_AFTER_MS = 1000;

function makeFullError(detail: string): RouterError {
  return new RouterError('entry_full', detail, {retryAfterMs: RETRY_AFTER_MS});
}

/**
 * A caller that still sends after its response would hold the connection; an
 * immediate close could lose the response on the way.
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

/** Ends a response whose reader took nothing since the last look. */
function endStalled(open: OpenRequest): void {
  const {response} = open;
  const sentBytes = response.socket?.bytesWritten ?? 0;
  if (response.writableNeedDrain && sentBytes === open.sentBytes) {
    response.destroy();
  }
  open.sentBytes = sentBytes;
}

/** Creates a gate without open requests. */
export function createRequestGate(limits: RequestLimits): RequestGate {
  const openRequests = new Map<IncomingMessage, OpenRequest>();
  let bufferedBytes = 0;

  const timer = setInterval(() => {
    for (const open of openRequests.values()) {
      endStalled(open);
    }
  }, limits.writeTimeoutMs);
  timer.unref();

  function release(request: IncomingMessage): void {
    const open = openRequests.get(request);
    openRequests.delete(request);
    bufferedBytes -= open?.bytes ?? 0;
    closeAfterLinger(request);
  }

  function takeBytes(request: IncomingMessage, bytes: number): void {
    const open = openRequests.get(request);
    if (!open) {
      throw new RouterError('cancelled', 'the caller left');
    }
    if (bufferedBytes + bytes > limits.maximumBufferedBytes) {
      throw makeFullError('too many bytes of bodies are buffered');
    }
    open.bytes += bytes;
    bufferedBytes += bytes;
  }

  return {
    open: (request, response) => {
      if (openRequests.size >= limits.maximumOpenRequests) {
        closeAfterLinger(request);
        throw makeFullError('too many requests are open');
      }
      const sentBytes = response.socket?.bytesWritten ?? 0;
      openRequests.set(request, {response, bytes: 0, sentBytes});
      response.once('close', () => release(request));
    },
    getPermit: request => ({
      takeBytes: bytes => takeBytes(request, bytes),
    }),
    countOpen: () => openRequests.size,
    countBufferedBytes: () => bufferedBytes,
    close: () => clearInterval(timer),
  };
}
