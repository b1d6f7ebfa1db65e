/** Reads the body of a caller's request, within limits on size and idle time. */
import type {IncomingMessage} from 'node:http';
import {
  RouterError,
  createByteBuffer,
  createReadPacer,
} from '@buckthornbeam/shared';

export interface ReadBodyOptions {
  maximumBytes: number;
  /** Time limit between two chunks. */
  idleTimeoutMs: number;
  /** Time limit for the whole body: nobody waits for the answer after it. */
  timeLimitMs?: number | undefined;
  /** Aborted when the instance ends the requests that are still open. */
  stopSignal?: AbortSignal;
}

/** Longest delay of a timer of Node.js. */
const MAXIMUM_TIMER_MS = 2 ** 31 - 1;

/**
 * Reads a complete body.
 * @throws RouterError `body_too_large`, `request_timeout`, `cancelled`, `leaving`
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
    const received = createByteBuffer({maximumBytes: options.maximumBytes});
    const pacer = createReadPacer(request);
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
    function clearTimers(): void {
      clearTimeout(idleTimer);
      clearTimeout(endTimer);
      options.stopSignal?.removeEventListener('abort', failStopped);
    }
    function fail(error: RouterError): void {
      clearTimers();
      reject(error);
    }
    request.on('data', (chunk: Buffer) => {
      idleTimer.refresh();
      pacer.countPieces(1);
      if (!received.append(chunk)) {
        fail(
          new RouterError(
            'body_too_large',
            `the body exceeds the limit of ${options.maximumBytes} bytes`,
          ),
        );
      }
    });
    request.on('end', () => {
      clearTimers();
      resolve(received.takeAll());
    });
    request.on('error', error => {
      fail(
        new RouterError('cancelled', 'the caller disconnected', {
          cause: error as Error,
        }),
      );
    });
    request.on('close', () => {
      fail(new RouterError('cancelled', 'the caller disconnected'));
    });
  });
}
