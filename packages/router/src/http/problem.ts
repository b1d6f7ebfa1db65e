/** Problem documents: errors as callers read them. */
import {errorTable} from '@buckthornbeam/shared';
import type {RouterError} from '@buckthornbeam/shared';
import {createJsonResponse} from './json_response.js';

/** An error in the format application/problem+json. */
export interface Problem {
  type: string;
  title: string;
  status: number;
  /** Stable error code. */
  code: string;
  detail: string;
  outcome: string;
  advice: string;
}

/** Builds the problem document of an error. */
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

/** Creates the HTTP response of an error. */
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
