/** Checks of request headers that would be ambiguous or unusable. */
import type {IncomingMessage} from 'node:http';
import {RouterError} from '@buckthornbeam/shared';

/** Headers that may stand once only; a second one would be a second opinion. */
const SINGLE_HEADERS = [
  'authorization',
  'content-type',
  'host',
  'idempotency-key',
  'idempotency-ticket',
  'last-event-id',
  'x-request-class',
  'x-request-id',
];

const REQUEST_ID = /^[\w.:-]{1,128}$/;
const OFFSET = /^\d{1,9}$/;
const IDEMPOTENCY_KEY = /^[\x21-\x7e]{1,255}$/;

/** Headers whose values have a form of their own. */
const patternByHeader: Record<string, RegExp> = {
  'x-request-id': REQUEST_ID,
  'last-event-id': OFFSET,
  'idempotency-key': IDEMPOTENCY_KEY,
};

/** Throws `invalid_request` when a header stands twice or has a wrong form. */
export function checkHeaders(request: IncomingMessage): void {
  if (request.headers.host === undefined && request.httpVersion === '1.1') {
    throw new RouterError('malformed_http', 'the header host is missing');
  }
  for (const name of SINGLE_HEADERS) {
    const values = request.headersDistinct[name] ?? [];
    if (values.length > 1) {
      throw new RouterError('invalid_request', `the header ${name} is doubled`);
    }
  }
  for (const [name, pattern] of Object.entries(patternByHeader)) {
    const value = request.headers[name];
    if (value !== undefined && !pattern.test(String(value))) {
      throw new RouterError(
        'invalid_request',
        `the header ${name} has to match ${pattern.source}`,
      );
    }
  }
}

/** Returns the key of `authorization: Bearer KEY`. */
export function getApiKey(request: IncomingMessage): string {
  const [, key] = /^Bearer ([\x21-\x7e]+)$/i.exec(
    request.headers.authorization ?? '',
  ) ?? [undefined, undefined];
  if (key === undefined) {
    throw new RouterError('unknown_customer', 'no bearer token was sent');
  }
  return key;
}
