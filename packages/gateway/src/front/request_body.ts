/** Reads the body of a caller's request within limits. */
import type {IncomingMessage} from 'node:http';
import {RouterError} from '@buckthornbeam/shared';

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  maximumBytes: number;
  /** Longest pause between two parts, in milliseconds. */
  pauseMs: number;
}

/**
 * Reads a whole body.
 * @throws RouterError `body_too_large`, `request_timeout`, `cancelled`
 */
export function readBody(
  request: IncomingMessage,
  options: ReadBodyOptions,
): Promise<Buffer> {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > options.maximumBytes) {
    return Promise.reject(
      new RouterError('body_too_large', `${declared} bytes were announced`),
    );
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const timer = setTimeout(() => {
      reject(new RouterError('request_timeout', 'the body did not go on'));
    }, options.pauseMs);
    function fail(error: RouterError): void {
      clearTimeout(timer);
      reject(error);
    }
    request.on('data', (bytes: Buffer) => {
      timer.refresh();
      size += bytes.length;
      if (size > options.maximumBytes) {
        fail(new RouterError('body_too_large', `more than ${size} bytes`));
        return;
      }
      chunks.push(bytes);
    });
    request.on('end', () => {
      clearTimeout(timer);
      resolve(Buffer.concat(chunks));
    });
    request.on('error', error => {
      fail(
        new RouterError('cancelled', 'the caller left', {
          cause: error as Error,
        }),
      );
    });
    request.on('close', () => {
      fail(new RouterError('cancelled', 'the caller left'));
    });
  });
}
