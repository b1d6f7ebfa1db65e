/** When a refused caller is to come back. */

/** Options of {@link computeRetryAfter}. */
export interface RetryAfterOptions {
  /** Time that the caller has left, in milliseconds. */
  leftMs: number;
  /** A number in [0, 1). */
  random: () => number;
}

/** Callers honour up to a third of the time they have left. */
const HONOURED_PART = 0.33;
/** Callers spread over the second half of that time, so that they do not return together. */
const LEAST_PART = 0.4;
/** Longer waits gain nothing: room comes and goes within seconds, in milliseconds. */
const LONGEST_MS = 1500;

/** Computes the time in milliseconds. */
export function computeRetryAfter(options: RetryAfterOptions): number {
  const longest = Math.min(LONGEST_MS, options.leftMs * HONOURED_PART);
  const part = LEAST_PART + (1 - LEAST_PART) * options.random();
  return Math.round(longest * part);
}
