/** The part of a limit that an owner may use with the shares it holds. */

/**
 * Computes the part of a limit that belongs to `held` of `total` equal shares.
 * The parts of all owners never add up to more than the limit: a minority is
 * rounded down, and a majority gets the limit minus the most that the other
 * owners can have.
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
