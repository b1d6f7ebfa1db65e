/**
 * Deficit counters that guarantee each class a minimum share of dispatched
 * tokens.
 */

/** Options of {@link createMinimumShares}. */
export interface MinimumSharesOptions {
  /** Returns the minimum share of a class in the dispatched tokens, 0 to 1. */
  getShare: (className: string) => number;
}

/** The deficit counters of one queue. */
export interface MinimumShares {
  /**
   * Records a dispatch: every class is credited with its share of the tokens,
   * and the dispatched class is debited. The credit of a class without waiting
   * requests is capped at the size of its last request. Returns the debited
   * tokens.
   */
  record(
    className: string,
    tokens: number,
    waitingClasses: ReadonlySet<string>,
  ): number;
  /** Credits tokens that were debited for work that was not done. */
  refund(className: string, tokens: number): void;
  /**
   * Finds the class with the largest credit beyond its next request.
   *
   * @param nextTokens size of the next request of each waiting class
   * @param requiredRequests the credit has to cover this many such requests
   */
  findDue(
    nextTokens: ReadonlyMap<string, number>,
    requiredRequests: number,
  ): string | undefined;
}

interface ClassAccount {
  creditTokens: number;
  /** Size of the class's last request that was dispatched or considered. */
  lastRequestTokens: number;
}

export function createMinimumShares(
  options: MinimumSharesOptions,
): MinimumShares {
  const {getShare} = options;
  const accounts = new Map<string, ClassAccount>();

  function getAccount(className: string): ClassAccount {
    const existing = accounts.get(className);
    if (existing) {
      return existing;
    }
    const created = {creditTokens: 0, lastRequestTokens: 0};
    accounts.set(className, created);
    return created;
  }

  return {
    record: (className, tokens, waitingClasses) => {
      const dispatched = getAccount(className);
      dispatched.lastRequestTokens = tokens;
      for (const [name, account] of accounts) {
        account.creditTokens += getShare(name) * tokens;
        if (!waitingClasses.has(name)) {
          const {creditTokens, lastRequestTokens} = account;
          account.creditTokens = Math.min(creditTokens, lastRequestTokens);
        }
      }
      // Work beyond the minimum share does not reduce the credit below 0.
      const spent = Math.min(dispatched.creditTokens, tokens);
      dispatched.creditTokens -= spent;
      return spent;
    },
    refund: (className, tokens) => {
      getAccount(className).creditTokens += tokens;
    },
    findDue: (nextTokens, requiredRequests) => {
      let best: string | undefined;
      let bestSurplus = 0;
      for (const [className, tokens] of nextTokens) {
        const account = getAccount(className);
        account.lastRequestTokens = tokens;
        const surplus = account.creditTokens - requiredRequests * tokens;
        if (surplus >= 0 && (best === undefined || surplus > bestSurplus)) {
          best = className;
          bestSurplus = surplus;
        }
      }
      return best;
    },
  };
}
