/** Reads the body of a caller's request, within limits on size and idle time. */
import type {IncomingMessage} from 'node:http';
import {
  RouterError,
  createByteBuffer,
  createReadPacer,
} from '@buckthornbeam/shared';
import type {MemoryAccount} from '../memory/memory_budget.js';

export interface ReadBodyOptions {
  maximumBytes: number;
  /** Time limit between two chunks. */
  idleTimeoutMs: number;
  /** Time limit for the whole body: nobody waits for the answer after it. */
  timeLimitMs?: number | undefined;
  /** Aborted when the instance ends the requests that are still open. */
  stopSignal?: AbortSignal;
  /** Opens the account of the body; `evict` refuses the body to free its memory. */
  openAccount?: (evict: () => void) => MemoryAccount;
  /** Counts the bytes of each piece, which are copied or dropped. */
  countRead?: (bytes: number) => void;
  /** Whether to drop the bytes, of a request that will be refused; false by default. */
  isDiscarded?: boolean;
  /** Called when the body is refused for the many small pieces that it has. */
  onCrowded?: () => void;
}

/** Longest delay of a timer of Node.js. */
const MAXIMUM_TIMER_MS = 2 ** 31 - 1;

/** Time until memory is likely to be free again. */
const MEMORY_RETRY_MS = 300;

function buildMemoryError(detail: string): RouterError {
  return new RouterError('entry_full', detail, {
    retryAfterMs: MEMORY_RETRY_MS,
  });
}

/**
 * Reads a complete body.
 * @throws RouterError `body_too_large`, `request_timeout`, `cancelled`, `leaving`,
 *   `entry_full`
 */
export function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Buffer> {
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > options.maximumBytes) {
    return Promise.reject(
      new RouterError(
        'body_too_large',
        `the Content-Length of ${declaredBytes} exceeds the limit`,
      ),
    );
  }
  return new Promise((resolve, reject) => {
    const account = options.openAccount?.(() =>
      fail(buildMemoryError('the memory of the body is needed by others')),
    );
    const received = createByteBuffer({
      maximumBytes: options.maximumBytes,
      expectedBytes: declaredBytes,
      hasOwnPages: true,
      reserve: bytes => account?.resize(bytes) ?? true,
    });
    const pacer = createReadPacer(request, {
      onCrowded: () => {
        options.onCrowded?.();
        fail(buildMemoryError('the body has too many small pieces'));
      },
    });
    let receivedBytes = 0;
    let isSettled = false;
    function failLate(): void {
      fail(
        new RouterError(
          'request_timeout',
          'timed out while receiving the request body',
        ),
      );
    }
    const idleTimer = setTimeout(failLate, options.idleTimeoutMs);
    const endTimer = setTimeout(
      failLate,
      Math.min(MAXIMUM_TIMER_MS, options.timeLimitMs ?? MAXIMUM_TIMER_MS),
    );
    function failStopped(): void {
      fail(new RouterError('leaving', 'the instance is stopping'));
    }
    options.stopSignal?.addEventListener('abort', failStopped);
    function settle(): void {
      isSettled = true;
      clearTimeout(idleTimer);
      clearTimeout(endTimer);
      options.stopSignal?.removeEventListener('abort', failStopped);
    }
    function fail(error: RouterError): void {
      settle();
      // The bytes are of no use, although the request may stay open for long.
      received.takeAll();
      account?.release();
      pacer.stop();
      reject(error);
    }
    /** Fails a body that has not ended; a complete one may be in use. */
    function failOpen(error: RouterError): void {
      if (!isSettled) {
        fail(error);
      }
    }
    function addPiece(piece: Buffer): void {
      receivedBytes += piece.length;
      account?.recordProgress();
      if (receivedBytes > options.maximumBytes) {
        fail(
          new RouterError(
            'body_too_large',
            `the body exceeds the limit of ${options.maximumBytes} bytes`,
          ),
        );
      } else if (!options.isDiscarded && !received.append(piece)) {
        fail(buildMemoryError('no memory is left for the body'));
      }
    }
    request.on('data', (chunk: Buffer) => {
      idleTimer.refresh();
      pacer.countPieces(1);
      options.countRead?.(chunk.length);
      if (!isSettled) {
        addPiece(chunk);
      }
    });
    request.on('end', () => {
      if (!isSettled) {
        settle();
        resolve(received.takeAll());
      }
    });
    request.on('error', error => {
      failOpen(
        new RouterError('cancelled', 'the caller disconnected', {
          cause: error as Error,
        }),
      );
    });
    request.on('close', () => {
      failOpen(new RouterError('cancelled', 'the caller disconnected'));
    });
  });
}
