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

/** Above any configured limit, so that the configured limit is the one enforced. */
export const PARSER_MAXIMUM_HEADER_BYTES = 65_536;
/** Part of the memory for bodies and responses that heads of this length may take. */
const LONG_HEAD_RATIO = 1 / 8;
/** The parser counts the URL as well, the configured limit does not. */
const URL_BYTES = 8192;

/** Whether heads of the longest kind on all connections take little of the memory. */
export function canHoldLongHeads(
  connections: number,
  memoryBytes: number,
): boolean {
  return (
    connections * PARSER_MAXIMUM_HEADER_BYTES <= memoryBytes * LONG_HEAD_RATIO
  );
}

/** Options of {@link computeParserLimit}. */
export interface ParserLimitOptions {
  /** Connections that are open. */
  connections: number;
  /** Memory for bodies and responses; Infinity without a limit. */
  memoryBytes: number;
  limits: CallerLimits;
}

/**
 * Computes the bytes that the parser accepts as the head on a further connection. With
 * many connections they are those that the configuration allows.
 */
export function computeParserLimit({
  connections,
  memoryBytes,
  limits,
}: ParserLimitOptions): number {
  return canHoldLongHeads(connections + 1, memoryBytes)
    ? PARSER_MAXIMUM_HEADER_BYTES
    : Math.min(
        PARSER_MAXIMUM_HEADER_BYTES,
        limits.maximumHeaderBytes + URL_BYTES,
      );
}

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
