/**
 * Weighted fair queueing over customers. Start and finish tags are in weighted
 * tokens: tokens divided by the customer's weight.
 */

/** Options of {@link createFairShare}. */
export interface FairShareOptions {
  /** Returns the weight of a customer; greater than 0. */
  getWeight: (customerId: string) => number;
}

/** The virtual clock of one tier of one queue. */
export interface FairShare {
  /** Returns the start tag of the customer's next request. */
  getStart(customerId: string): number;
  /** Records a dispatch; `leastStart` is the least waiting start tag. */
  record(customerId: string, tokens: number, leastStart: number): void;
  /** Adds the difference of actual to estimated work, in tokens. */
  settle(customerId: string, difference: number): void;
}

/** Customers kept before those not ahead of the virtual time are removed. */
const PRUNE_CUSTOMERS = 1024;

export function createFairShare(options: FairShareOptions): FairShare {
  const {getWeight} = options;
  const finishTags = new Map<string, number>();
  let virtualTime = 0;

  function getStart(customerId: string): number {
    return Math.max(virtualTime, finishTags.get(customerId) ?? 0);
  }

  function removeIdle(): void {
    for (const [customerId, finishTag] of finishTags) {
      if (finishTag <= virtualTime) {
        finishTags.delete(customerId);
      }
    }
  }

  return {
    getStart,
    record: (customerId, tokens, leastStart) => {
      const start = getStart(customerId);
      virtualTime = Math.max(virtualTime, leastStart);
      finishTags.set(customerId, start + tokens / getWeight(customerId));
      if (finishTags.size > PRUNE_CUSTOMERS) {
        removeIdle();
      }
    },
    settle: (customerId, difference) => {
      const finishTag = finishTags.get(customerId);
      if (finishTag !== undefined) {
        const change = difference / getWeight(customerId);
        finishTags.set(customerId, finishTag + change);
      }
    },
  };
}
