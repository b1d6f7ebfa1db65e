/** Deficit counters that give each class its minimum share of dispatches. */

/** Options of {@link createMinimumShares}. */
export interface MinimumSharesOptions {
  /** Least share of dispatched work of a class, between 0 and 1. */
  getShare: (className: string) => number;
}

/** The counters of one queue. */
export interface MinimumShares {
  /**
   * Records a dispatch: every class earns its share of the work. A class
   * without waiting requests keeps what its last request needed at most.
   * Returns what the class has spent of its earnings, in tokens.
   */
  record(
    className: string,
    tokens: number,
    waiting: ReadonlySet<string>,
  ): number;
  /** Gives back what was spent on work that was not done, in tokens. */
  refund(className: string, tokens: number): void;
  /**
   * Finds the class that has earned the most beyond its next request.
   * `needed` holds the work of each waiting class's next request, in tokens;
   * the earnings have to be `factor` times as large.
   */
  findDue(
    needed: ReadonlyMap<string, number>,
    factor: number,
  ): string | undefined;
}

interface ClassAccount {
  earnedTokens: number;
  /** Work of the class's last known request, in tokens. */
  lastNeeded: number;
}

/** Creates counters at zero. */
export function createMinimumShares(
  options: MinimumSharesOptions,
): MinimumShares {
  const {getShare} = options;
  const accounts = new Map<string, ClassAccount>();

  function getAccount(className: string): ClassAccount {
    const known = accounts.get(className);
    if (known) {
      return known;
    }
    const created = {earnedTokens: 0, lastNeeded: 0};
    accounts.set(className, created);
    return created;
  }

  return {
    record: (className, tokens, waiting) => {
      const spender = getAccount(className);
      spender.lastNeeded = tokens;
      for (const [name, account] of accounts) {
        account.earnedTokens += getShare(name) * tokens;
        if (!waiting.has(name)) {
          const {earnedTokens, lastNeeded} = account;
          account.earnedTokens = Math.min(earnedTokens, lastNeeded);
        }
      }
      // Work beyond the minimum share is not held against a class later.
      const spent = Math.min(spender.earnedTokens, tokens);
      spender.earnedTokens -= spent;
      return spent;
    },
    refund: (className, tokens) => {
      getAccount(className).earnedTokens += tokens;
    },
    findDue: (needed, factor) => {
      let best: string | undefined;
      let bestSurplus = 0;
      for (const [className, tokens] of needed) {
        const account = getAccount(className);
        account.lastNeeded = tokens;
        const surplus = account.earnedTokens - factor * tokens;
        if (surplus >= 0 && (best === undefined || surplus > bestSurplus)) {
          best = className;
          bestSurplus = surplus;
        }
      }
      return best;
    },
  };
}
