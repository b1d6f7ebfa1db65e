/**
 * Retry budget of a service over a sliding window. The fleet's budget is
 * divided among the instances, so that it is kept without coordination.
 */

/** Retry budget of all instances together for one service. */
export interface FleetRepeatBudget {
  /** Retries allowed per request in the window. */
  ratio: number;
  /** Retries allowed per window in addition. */
  extra: number;
  /** Length of the window, in milliseconds. */
  windowMs: number;
}

/** One instance's share of a service's budget; times are in milliseconds. */
export interface RepeatBudget {
  /** Counts a request of a caller, which earns a fraction of a retry. */
  recordRequest(now: number): void;
  /** Whether a retry is left; it is not taken. */
  has(now: number, instances: number): boolean;
  /** Takes one retry; false if the share is exhausted. */
  take(now: number, instances: number): boolean;
  /** Computes the ratio of the share that is still available, from 0 to 1. */
  computeRemainingRatio(now: number, instances: number): number;
}

/**
 * Ratio of the budget that is used. The remainder covers times at which an
 * instance sees too few other instances, so that its share is too large.
 */
const USED_RATIO = 0.8;

function removeBefore(timestamps: number[], start: number): void {
  let count = 0;
  while (count < timestamps.length && timestamps[count]! < start) {
    count += 1;
  }
  timestamps.splice(0, count);
}

export function createRepeatBudget(budget: FleetRepeatBudget): RepeatBudget {
  const requestTimes: number[] = [];
  const retryTimes: number[] = [];

  function computeAllowed(now: number, instances: number): number {
    removeBefore(requestTimes, now - budget.windowMs);
    removeBefore(retryTimes, now - budget.windowMs);
    const extra = budget.extra / Math.max(1, instances);
    return (requestTimes.length * budget.ratio + extra) * USED_RATIO;
  }

  function has(now: number, instances: number): boolean {
    // Removes old times before they are counted.
    const allowed = computeAllowed(now, instances);
    return retryTimes.length + 1 <= allowed;
  }

  return {
    recordRequest: now => {
      requestTimes.push(now);
    },
    has,
    take: (now, instances) => {
      if (!has(now, instances)) {
        return false;
      }
      retryTimes.push(now);
      return true;
    },
    computeRemainingRatio: (now, instances) => {
      const allowed = computeAllowed(now, instances);
      return allowed > 0 ? Math.max(0, 1 - retryTimes.length / allowed) : 0;
    },
  };
}
