/**
 * Weighted max-min fairness: divides capacity between customers in proportion to
 * their weights; what one does not ask for goes to the others.
 */

/** Tokens per second of one customer. */
export interface CustomerDemand {
  /** Tokens that its requests ask for. */
  offered: number;
  /** Tokens of its requests that were sent to servers. */
  served: number;
  /** Average of the offered tokens while capacity was not scarce. */
  usual: number;
}

/** Division of the capacity. */
export interface ShareLevel {
  /** Tokens per second that all customers may use together. */
  capacity: number;
  /** Tokens per second in an equal share. */
  equalShare: number;
  /** Multiplies the weight of a customer to its share; Infinity if all fits. */
  factor: number;
}

/**
 * Ratio of the capacity to what was served. Without an excess, capacity that has
 * returned would not be used; requests beyond the capacity are refused without
 * regard to shares.
 */
const CAPACITY_RATIO = 1.05;
/**
 * Weight of a customer whose usual load is small or not known, as a ratio to an equal
 * share. With a whole equal share, a burst of all customers would be paid by the large
 * ones alone.
 */
const MINIMUM_WEIGHT_RATIO = 0.7;

/** Customers are entitled to their usual load, so that large ones keep theirs. */
function computeWeight({usual}: CustomerDemand, equalShare: number): number {
  return Math.max(usual, equalShare * MINIMUM_WEIGHT_RATIO);
}

/** Finds the factor at which the customers together use the capacity. */
function computeFactor(
  demands: readonly CustomerDemand[],
  capacity: number,
  equalShare: number,
): number {
  const ranked = demands
    .map(demand => ({
      offered: demand.offered,
      weight: computeWeight(demand, equalShare),
    }))
    .sort((a, b) => a.offered / a.weight - b.offered / b.weight);
  let remaining = capacity;
  let weight = ranked.reduce((sum, item) => sum + item.weight, 0);
  for (const item of ranked) {
    const factor = remaining / weight;
    if (item.offered > item.weight * factor) {
      return Math.max(0, factor);
    }
    remaining -= item.offered;
    weight -= item.weight;
  }
  return Infinity;
}

/** @param demands Customers that ask for something. */
export function computeShareLevel(
  demands: readonly CustomerDemand[],
): ShareLevel {
  const served = demands.reduce((sum, demand) => sum + demand.served, 0);
  const capacity = served * CAPACITY_RATIO;
  const equalShare = capacity / Math.max(1, demands.length);
  return {
    capacity,
    equalShare,
    factor:
      served > 0 ? computeFactor(demands, capacity, equalShare) : Infinity,
  };
}

/** Computes the tokens per second that a customer may use. */
export function computeShare(
  demand: CustomerDemand,
  {equalShare, factor}: ShareLevel,
): number {
  return factor === Infinity
    ? Infinity
    : computeWeight(demand, equalShare) * factor;
}
