/** Fairness over customers. */

/** What a customer asked for. */
export interface Demand {
  /** Tokens that the customer asked for. */
  demand: number;
  weight: number;
}

/** Computes Jain's index: 1 when all values are equal, 1/n at worst. */
export function computeJainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

/** Divides a total max-min fairly by weight; none gets more than its demand. */
export function computeMaxMinShares(
  customers: readonly Demand[],
  total: number,
): number[] {
  const shares = customers.map(() => 0);
  const open = new Set(customers.keys());
  let left = total;
  while (open.size > 0 && left > 1e-9) {
    const weight = [...open].reduce(
      (sum, index) => sum + customers[index]!.weight,
      0,
    );
    const level = left / weight;
    const full = [...open].filter(index => {
      const {demand, weight: own} = customers[index]!;
      return demand - shares[index]! <= level * own;
    });
    const served = full.length > 0 ? full : [...open];
    for (const index of served) {
      const {demand, weight: own} = customers[index]!;
      const part = full.length > 0 ? demand - shares[index]! : level * own;
      shares[index]! += part;
      left -= part;
      open.delete(index);
    }
  }
  return shares;
}
