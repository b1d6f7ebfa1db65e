/** Weighted fair queueing over customers by start tags in virtual tokens. */

/** Options of {@link createFairShare}. */
export interface FairShareOptions {
  /** Weight of a customer; greater than 0. */
  getWeight: (customerId: string) => number;
}

/** The virtual clock of the customers that share one tier of one queue. */
export interface FairShare {
  /** Virtual time at which the customer's next request starts. */
  getStart(customerId: string): number;
  /** Records dispatched work; `floor` is the least start that is waiting. */
  record(customerId: string, tokens: number, floor: number): void;
  /** Corrects recorded work by the difference to the estimate, in tokens. */
  settle(customerId: string, difference: number): void;
}

/** Customers kept before those without a lead are dropped. */
const PRUNE_SIZE = 1024;

/** Creates a virtual clock at zero. */
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
    record: (customerId, tokens, floor) => {
      const start = getStart(customerId);
      virtualTime = Math.max(virtualTime, floor);
      finishTags.set(customerId, start + tokens / getWeight(customerId));
      if (finishTags.size > PRUNE_SIZE) {
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
