/** Checks request headers. */
import type {IncomingMessage} from 'node:http';
import {RouterError} from '@buckthornbeam/shared';

/** Headers that must not be repeated, as the valid value would be ambiguous. */
const SINGLE_VALUE_HEADERS = [
  'authorization',
  'content-type',
  'host',
  'idempotency-key',
  'idempotency-ticket',
  'last-event-id',
  'x-request-class',
  'x-request-id',
];

const REQUEST_ID_PATTERN = /^[\w.:-]{1,128}$/;
const OFFSET_PATTERN = /^\d{1,9}$/;
const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;

/** Required formats of header values. */
const patternByHeader: Record<string, RegExp> = {
  'x-request-id': REQUEST_ID_PATTERN,
  'last-event-id': OFFSET_PATTERN,
  'idempotency-key': IDEMPOTENCY_KEY_PATTERN,
};

/**
 * @throws RouterError `malformed_http` without a host in HTTP/1.1;
 * `invalid_request` for a repeated or badly formatted header
 */
export function checkHeaders(request: IncomingMessage): void {
  if (request.headers.host === undefined && request.httpVersion === '1.1') {
    throw new RouterError('malformed_http', 'the header host is missing');
  }
  for (const name of SINGLE_VALUE_HEADERS) {
    const values = request.headersDistinct[name] ?? [];
    if (values.length > 1) {
      throw new RouterError(
        'invalid_request',
        `the header ${name} is repeated`,
      );
    }
  }
  for (const [name, pattern] of Object.entries(patternByHeader)) {
    const value = request.headers[name];
    if (value !== undefined && !pattern.test(String(value))) {
      throw new RouterError(
        'invalid_request',
        `the header ${name} must match ${pattern.source}`,
      );
    }
  }
}

/**
 * Returns the key of `authorization: Bearer KEY`.
 *
 * @throws RouterError `unknown_customer` without such a header
 */
export function getApiKey(request: IncomingMessage): string {
  const [, key] = /^Bearer ([\x21-\x7e]+)$/i.exec(
    request.headers.authorization ?? '',
  ) ?? [undefined, undefined];
  if (key === undefined) {
    throw new RouterError('unknown_customer', 'no bearer token was sent');
  }
  return key;
}
