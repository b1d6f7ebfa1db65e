/** Measures of fairness between customers. */

export interface CustomerDemand {
  /** Requested tokens. */
  demand: number;
  weight: number;
}

/** Computes Jain's index: 1 when all values are equal, 1/n at worst. */
export function computeJainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return squares === 0 ? 1 : (sum * sum) / (values.length * squares);
}

/** Computes the weighted max-min fair shares of a total, limited by each demand. */
export function computeMaxMinShares(
  customers: readonly CustomerDemand[],
  total: number,
): number[] {
  const shares = customers.map(() => 0);
  const unsatisfied = new Set(customers.keys());
  let remaining = total;
  while (unsatisfied.size > 0 && remaining > 1e-9) {
    const weight = [...unsatisfied].reduce(
      (sum, index) => sum + customers[index]!.weight,
      0,
    );
    const level = remaining / weight;
    const satisfiable = [...unsatisfied].filter(index => {
      const {demand, weight: ownWeight} = customers[index]!;
      return demand - shares[index]! <= level * ownWeight;
    });
    const recipients = satisfiable.length > 0 ? satisfiable : [...unsatisfied];
    for (const index of recipients) {
      const {demand, weight: ownWeight} = customers[index]!;
      const share =
        satisfiable.length > 0 ? demand - shares[index]! : level * ownWeight;
      shares[index]! += share;
      remaining -= share;
      unsatisfied.delete(index);
    }
  }
  return shares;
}
