/** Retry budgets: retries stay a bounded part of the requests of a class. */

/** The budget of one class on one instance. */
export interface RetryBudget {
  /** Counts a first attempt, with the class's budget between 0 and 1. */
  record(ratio: number): void;
  /** Takes one retry from the budget; false when it is used up. */
  take(): boolean;
}

/** Retries that an idle class may make before requests have earned any. */
const BURST_RETRIES = 10;

/** Creates a full budget. */
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
