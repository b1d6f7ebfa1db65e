/** What is known about the execution of a request. */

/** Outcomes as callers read them in `outcome`. */
export const Outcome = {
  /** No byte of the request can have reached a back end. */
  NOT_RUN: 'not_run',
  /** The request may have run, and may still be running. */
  UNKNOWN: 'unknown',
  /** The request ran and its answer is whole. */
  COMPLETED: 'completed',
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];
