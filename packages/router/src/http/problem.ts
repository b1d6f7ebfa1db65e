/** Problem documents (RFC 9457), the format of errors sent to callers. */
import {errorTable} from '@buckthornbeam/shared';
import type {RouterError} from '@buckthornbeam/shared';
import {createJsonResponse} from './json_response.js';

/** Body of an `application/problem+json` response. */
export interface Problem {
  type: string;
  title: string;
  status: number;
  /** Key of the error table; stable across versions. */
  code: string;
  detail: string;
  outcome: string;
  advice: string;
}

export function buildProblem(error: RouterError): Problem {
  const {status, title, advice} = errorTable[error.code];
  return {
    type: `urn:buckthornbeam:error:${error.code}`,
    title,
    status,
    code: error.code,
    detail: error.message,
    outcome: error.outcome,
    advice,
  };
}

/** Creates the HTTP response for an error, with `retry-after` if it is set. */
export function createProblemResponse(
  error: RouterError,
  headers: Record<string, string> = {},
): Response {
  const problem = buildProblem(error);
  const retryAfter: Record<string, string> =
    error.retryAfterMs === undefined
      ? {}
      : {'retry-after': String(Math.ceil(error.retryAfterMs / 1000))};
  return createJsonResponse(problem, {
    status: problem.status,
    contentType: 'application/problem+json',
    headers: {...retryAfter, ...headers},
  });
}
