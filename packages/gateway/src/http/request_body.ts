/** Reads the body of a caller's request, within limits on size and idle time. */
import type {IncomingMessage} from 'node:http';
import {RouterError} from '@buckthornbeam/shared';

export interface ReadBodyOptions {
  maximumBytes: number;
  /** Time limit between two chunks. */
  idleTimeoutMs: number;
}

/**
 * Reads a complete body.
 * @throws RouterError `body_too_large`, `request_timeout`, `cancelled`
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
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    const timer = setTimeout(() => {
      reject(
        new RouterError(
          'request_timeout',
          'timed out while receiving the request body',
        ),
      );
    }, options.idleTimeoutMs);
    function fail(error: RouterError): void {
      clearTimeout(timer);
      reject(error);
    }
    request.on('data', (chunk: Buffer) => {
      timer.refresh();
      receivedBytes += chunk.length;
      if (receivedBytes > options.maximumBytes) {
        fail(
          new RouterError(
            'body_too_large',
            `the body exceeds the limit after ${receivedBytes} bytes`,
          ),
        );
        return;
      }
      chunks.push(chunk);
    });
    request.on('end', () => {
      clearTimeout(timer);
      resolve(Buffer.concat(chunks));
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
