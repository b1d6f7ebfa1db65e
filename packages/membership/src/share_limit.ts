/** How much of a limit an owner may use with the shares that it holds. */

/**
 * Computes the part of a limit for `held` of `total` equal shares. The parts of
 * all owners together never exceed the limit: without a majority a part is
 * rounded down, and a majority gets what the others together cannot use.
 */
export function computeShareLimit(
  limit: number,
  held: number,
  total: number,
): number {
  if (held <= 0 || total <= 0) {
    return 0;
  }
  if (held * 2 > total) {
    return limit - Math.floor((limit * (total - held)) / total);
  }
  return Math.floor((limit * held) / total);
}
