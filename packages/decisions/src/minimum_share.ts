/** Deficit counters that give each class its minimum share of dispatches. */

/** Options of {@link createMinimumShares}. */
export interface MinimumSharesOptions {
  /** Least share of dispatched work of a class, between 0 and 1. */
  getShare: (className: string) => number;
}

/** The counters of one queue. */
export interface MinimumShares {
  /**
   * Records a dispatch. Every class that waits earns its share of the work;
   * a class without waiting requests loses what it has earned.
   */
  record(className: string, tokens: number, waiting: ReadonlySet<string>): void;
  /** Takes the difference of real to estimated work from what is earned. */
  settle(className: string, difference: number): void;
  /**
   * Finds the class that has earned the most beyond its next request.
   * `needed` holds the work of each waiting class's next request, in tokens.
   */
  findDue(needed: ReadonlyMap<string, number>): string | undefined;
}

/** Creates counters at zero. */
export function createMinimumShares(
  options: MinimumSharesOptions,
): MinimumShares {
  const {getShare} = options;
  const earned = new Map<string, number>();

  function removeIdle(waiting: ReadonlySet<string>): void {
    for (const className of earned.keys()) {
      if (!waiting.has(className)) {
        earned.delete(className);
      }
    }
  }

  return {
    record: (className, tokens, waiting) => {
      removeIdle(waiting);
      for (const name of waiting) {
        const total = (earned.get(name) ?? 0) + getShare(name) * tokens;
        // Work beyond the minimum share is not held against a class later.
        const spent = name === className ? tokens : 0;
        earned.set(name, Math.max(0, total - spent));
      }
    },
    settle: (className, difference) => {
      const total = (earned.get(className) ?? 0) - difference;
      earned.set(className, Math.max(0, total));
    },
    findDue: needed => {
      let best: string | undefined;
      let bestSurplus = 0;
      for (const [className, tokens] of needed) {
        const surplus = (earned.get(className) ?? 0) - tokens;
        const hasShare = getShare(className) > 0;
        if (
          hasShare &&
          surplus >= 0 &&
          (best === undefined || surplus > bestSurplus)
        ) {
          best = className;
          bestSurplus = surplus;
        }
      }
      return best;
    },
  };
}
