/** Checks of the fields of a chat request. */
import {RouterError} from '@buckthornbeam/shared';

type Check = (value: unknown) => boolean;

function isObject(value: unknown): value is Record<string, unknown> {
  return value !== null && typeof value === 'object' && !Array.isArray(value);
}

function isContent(value: unknown): boolean {
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
    isContent(value['content'])
  );
}

const isTokenCount: Check = value =>
  value === undefined ||
  value === null ||
  (Number.isSafeInteger(value) && (value as number) > 0);

const isNumberOrAbsent: Check = value =>
  value === undefined || value === null || typeof value === 'number';

/** Each field with its check and what is expected of it. */
const fieldChecks: Record<string, {check: Check; expected: string}> = {
  model: {
    check: value => typeof value === 'string' && value !== '',
    expected: 'a text',
  },
  messages: {
    check: value =>
      Array.isArray(value) && value.length > 0 && value.every(isMessage),
    expected: 'a list of messages, each with a role and a content',
  },
  max_tokens: {check: isTokenCount, expected: 'a whole number above 0'},
  max_completion_tokens: {
    check: isTokenCount,
    expected: 'a whole number above 0',
  },
  stream: {
    check: value =>
      value === undefined || value === null || typeof value === 'boolean',
    expected: 'true or false',
  },
  temperature: {check: isNumberOrAbsent, expected: 'a number'},
  top_p: {check: isNumberOrAbsent, expected: 'a number'},
  n: {
    check: value => value === undefined || value === null || value === 1,
    expected: '1, as one answer is given to a request',
  },
};

/** Throws `invalid_request` with every field that is wrong. */
export function checkChatFields(body: Record<string, unknown>): void {
  const errors = Object.entries(fieldChecks)
    .filter(([name, {check}]) => !check(body[name]))
    .map(([name, {expected}]) => `"${name}" has to be ${expected}`);
  if (errors.length > 0) {
    throw new RouterError('invalid_request', errors.join('; '));
  }
}

/** Returns the answer's greatest length that the caller asked for. */
export function getMaximumTokens(
  body: Record<string, unknown>,
): number | undefined {
  const value = body['max_completion_tokens'] ?? body['max_tokens'];
  return typeof value === 'number' ? value : undefined;
}
