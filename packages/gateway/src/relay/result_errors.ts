/** Errors of requests whose last attempt brought no answer for the caller. */
import {Outcome, RouterError} from '@buckthornbeam/shared';
import type {AttemptResult} from './attempt.js';
import {INTERRUPTED_REASON} from './attempt_watch.js';

/** Whether the attempt was ended by its deadline or a stop of the instance. */
export function isEndedHere({reason}: AttemptResult): boolean {
  return reason === 'deadline' || reason === INTERRUPTED_REASON;
}

/** Builds the error of an attempt that may have run and has no complete answer. */
export function buildAttemptError({reason}: AttemptResult): RouterError {
  if (reason === 'deadline') {
    return new RouterError(
      'deadline_passed',
      'the deadline passed without a complete answer',
      {outcome: Outcome.UNKNOWN},
    );
  }
  if (reason === INTERRUPTED_REASON) {
    return new RouterError(
      'interrupted',
      'the instance stopped before the answer was complete',
      {outcome: Outcome.UNKNOWN},
    );
  }
  return new RouterError('answer_garbled', `no answer: ${reason}`, {
    outcome: Outcome.UNKNOWN,
  });
}

/** Builds the error of a stream whose resumption was answered with an error. */
export function buildResumptionError(): RouterError {
  return new RouterError(
    'answer_truncated',
    'the server that resumed the stream failed',
    {outcome: Outcome.UNKNOWN},
  );
}

/** Builds the error of a request whose prompt is quarantined. */
export function buildQuarantineError(possibleRuns: number): RouterError {
  return new RouterError(
    'prompt_quarantined',
    'backend servers ended when they began to answer prompts with the same block',
    {outcome: possibleRuns > 0 ? Outcome.UNKNOWN : Outcome.NOT_RUN},
  );
}
