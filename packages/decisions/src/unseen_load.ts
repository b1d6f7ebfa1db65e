/**
 * Load that other instances have put on a server since the last report. Those that
 * place by the same report would all choose the server that was idle in it, until
 * the next report shows the crowd (herding). The
 * random part differs by instance and request and spreads them over the servers
 * whose loads differ by less than what may have been sent meanwhile.
 */

/** Options of {@link estimateUnseenTokens}. */
export interface UnseenLoadOptions {
  /** Recent rate of the prompt tokens sent to the server, per millisecond. */
  prefillTokensPerMs: number;
  /** Instances that place by the same report, including this one. */
  sharers: number;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/** Longest time whose requests no report contains yet. */
const UNSEEN_WINDOW_MS = 600;

/** Estimates prompt tokens that other instances have sent and nobody reported yet. */
export function estimateUnseenTokens({
  prefillTokensPerMs,
  sharers,
  random,
}: UnseenLoadOptions): number {
  const othersRatio = 1 - 1 / Math.max(1, sharers);
  return prefillTokensPerMs * othersRatio * UNSEEN_WINDOW_MS * random();
}
