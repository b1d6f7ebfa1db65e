/**
 * Budget of repeated sends to a service over a sliding window. Each instance
 * keeps to its own share, so that the sum over the fleet stays within the
 * budget without messages.
 */

/** The budget of the whole fleet for one service. */
export interface FleetRepeatBudget {
  /** Repeats allowed for each request of the window. */
  ratio: number;
  /** Repeats allowed in a window beyond that. */
  extra: number;
  /** Length of the window, in milliseconds. */
  windowMs: number;
}

/** Share of one instance in the budget of one service. */
export interface RepeatBudget {
  /** Counts a request of a caller. */
  recordRequest(now: number): void;
  /** Takes one repeat; false if the share is used up. */
  take(now: number, instances: number): boolean;
  /** Part of the share that is left, from 0 to 1. */
  computeLeft(now: number, instances: number): number;
}

/** Part of the budget that is used; the rest covers a smaller fleet than seen. */
const USED_PART = 0.8;

function removeBefore(times: number[], limit: number): void {
  let count = 0;
  while (count < times.length && times[count]! < limit) {
    count += 1;
  }
  times.splice(0, count);
}

/** Creates a budget that has seen no request. */
export function createRepeatBudget(budget: FleetRepeatBudget): RepeatBudget {
  const requests: number[] = [];
  const repeats: number[] = [];

  function computeAllowed(now: number, instances: number): number {
    removeBefore(requests, now - budget.windowMs);
    removeBefore(repeats, now - budget.windowMs);
    const extra = budget.extra / Math.max(1, instances);
    return (requests.length * budget.ratio + extra) * USED_PART;
  }

  return {
    recordRequest: now => {
      requests.push(now);
    },
    take: (now, instances) => {
      const allowed = computeAllowed(now, instances);
      if (repeats.length + 1 > allowed) {
        return false;
      }
      repeats.push(now);
      return true;
    },
    computeLeft: (now, instances) => {
      const allowed = computeAllowed(now, instances);
      return allowed > 0 ? Math.max(0, 1 - repeats.length / allowed) : 0;
    },
  };
}
