/** Validates the body of a chat request. */
import {RouterError} from '@buckthornbeam/shared';

type Check = (value: unknown) => boolean;

function isObject(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}

function isOptionalContent(value: unknown): boolean {
  return (
    value === undefined ||
    value === null ||
    typeof value === 'string' ||
    (Array.isArray(value) && value.every(isObject))
  );
}

function isMessage(value: unknown): boolean {
  return (
    isObject(value) &&
    typeof value['role'] === 'string' &&
    isOptionalContent(value['content'])
  );
}

const isOptionalTokenCount: Check = value =>
  value === undefined ||
  value === null ||
  (Number.isSafeInteger(value) && (value as number) > 0);

const isOptionalNumber: Check = value =>
  value === undefined || value === null || typeof value === 'number';

/** Checks by field name; `expected` completes the error message. */
const fieldChecks: Record<string, {check: Check; expected: string}> = {
  model: {
    check: value => typeof value === 'string' && value !== '',
    expected: 'a non-empty string',
  },
  messages: {
    check: value =>
      Array.isArray(value) && value.length > 0 && value.every(isMessage),
    expected: 'a non-empty array of messages with a role and content',
  },
  max_tokens: {check: isOptionalTokenCount, expected: 'a positive integer'},
  max_completion_tokens: {
    check: isOptionalTokenCount,
    expected: 'a positive integer',
  },
  stream: {
    check: value =>
      value === undefined || value === null || typeof value === 'boolean',
    expected: 'true or false',
  },
  temperature: {check: isOptionalNumber, expected: 'a number'},
  top_p: {check: isOptionalNumber, expected: 'a number'},
  n: {
    check: value => value === undefined || value === null || value === 1,
    expected: '1, as each request gets one answer',
  },
};

/** @throws RouterError `invalid_request` that lists every invalid field */
export function checkChatFields(body: Record<string, unknown>): void {
  const errors = Object.entries(fieldChecks)
    .filter(([name, {check}]) => !check(body[name]))
    .map(([name, {expected}]) => `"${name}" must be ${expected}`);
  if (errors.length > 0) {
    throw new RouterError('invalid_request', errors.join('; '));
  }
}

/** Returns the requested limit on the answer's length, in tokens. */
export function getMaximumTokens(
  body: Record<string, unknown>,
): number | undefined {
  const value = body['max_completion_tokens'] ?? body['max_tokens'];
  return typeof value === 'number' ? value : undefined;
}
