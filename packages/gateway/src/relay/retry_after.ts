/** Computes the delay after which a refused caller should retry. */

/** Options of {@link computeRetryAfter}. */
export interface RetryAfterOptions {
  /** Time until the caller's deadline, in milliseconds. */
  remainingMs: number;
  /** Time until a request may be sent, in milliseconds, if that is known. */
  availableInMs?: number | undefined;
  /** Planned time of the return, in place of a random one, in milliseconds. */
  plannedMs?: number | undefined;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/** Shortest delay of a customer that is over its share. */
const MINIMUM_SHARE_DELAY_MS = 100;
/** Part of a delay that is random, so that callers do not return together. */
const SHARE_SPREAD_RATIO = 0.25;
/** Callers honour a delay of up to a third of the time until their deadline. */
export const HONOURED_RATIO = 0.33;
/**
 * Lower end of the random delay, as a fraction of the longest. The spread keeps
 * callers from retrying at the same time.
 */
const MINIMUM_SPREAD_RATIO = 0.4;
/** Capacity becomes free and is used up within seconds, so longer delays do not help. */
const MAXIMUM_DELAY_MS = 1500;

/**
 * Returns the delay in milliseconds; not below the time after which a request may be
 * sent.
 */
export function computeRetryAfter(options: RetryAfterOptions): number {
  const longestMs = Math.min(
    MAXIMUM_DELAY_MS,
    options.remainingMs * HONOURED_RATIO,
  );
  const ratio =
    MINIMUM_SPREAD_RATIO + (1 - MINIMUM_SPREAD_RATIO) * options.random();
  const {availableInMs = 0, plannedMs = longestMs * ratio} = options;
  // Of servers to which this instance never sends, nothing is known.
  const knownMs = Number.isFinite(availableInMs) ? availableInMs : 0;
  return Math.round(Math.max(plannedMs, knownMs));
}

/**
 * Returns the delay in milliseconds after which a customer is within its share again,
 * as far as callers honour it.
 */
export function computeShareRetryAfter({
  remainingMs,
  availableInMs = 0,
  random,
}: RetryAfterOptions): number {
  const wantedMs = Math.max(MINIMUM_SHARE_DELAY_MS, availableInMs);
  const longestMs = remainingMs * HONOURED_RATIO;
  return Math.round(
    Math.min(
      wantedMs * (1 + SHARE_SPREAD_RATIO * random()),
      longestMs * (1 - SHARE_SPREAD_RATIO * random()),
    ),
  );
}
