/** Retry budget: bounds the ratio of retries to first attempts of a class. */

/** Budget of one class on one instance. */
export interface RetryBudget {
  /** Counts a first attempt; `ratio` (0 to 1) is the retries that it earns. */
  record(ratio: number): void;
  /** Takes one retry; false if the budget is exhausted. */
  take(): boolean;
}

/**
 * Initial and maximum balance, in retries; allows a burst from an idle class.
 */
const BURST_RETRIES = 10;

export function createRetryBudget(): RetryBudget {
  let available = BURST_RETRIES;
  return {
    record: ratio => {
      available = Math.min(BURST_RETRIES, available + ratio);
    },
    take: () => {
      if (available < 1) {
        return false;
      }
      available -= 1;
      return true;
    },
  };
}
