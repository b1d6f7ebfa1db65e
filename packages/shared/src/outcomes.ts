/** Whether a request was executed, as far as the router can determine. */

/** Values of the `outcome` field that callers receive. */
export const Outcome = {
  /** No byte of the request can have reached a back end. */
  NOT_RUN: 'not_run',
  /** The request may have run, and may still be running. */
  UNKNOWN: 'unknown',
  /** The request ran and its answer is complete. */
  COMPLETED: 'completed',
} as const;

export type Outcome = (typeof Outcome)[keyof typeof Outcome];
