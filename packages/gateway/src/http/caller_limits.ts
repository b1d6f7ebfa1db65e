/** Limits on the head of a caller's request. */
import type {IncomingMessage} from 'node:http';
import {RouterError} from '@buckthornbeam/shared';
import type {CallerLimits} from '../model.js';

/** Limits until a configuration is available. */
export const INITIAL_LIMITS: CallerLimits = {
  maximumHeaderBytes: 16_384,
  maximumBodyBytes: 4_194_304,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};

function countHeaderBytes(headers: readonly string[]): number {
  let bytes = 0;
  for (const text of headers) {
    bytes += text.length + 2;
  }
  return bytes;
}

/** @throws RouterError `headers_too_large` */
export function assertHeaderSize(
  request: IncomingMessage,
  {maximumHeaderBytes}: CallerLimits,
): void {
  const bytes = countHeaderBytes(request.rawHeaders);
  if (bytes > maximumHeaderBytes) {
    throw new RouterError(
      'headers_too_large',
      `the headers have ${bytes} bytes, above the limit`,
    );
  }
}
