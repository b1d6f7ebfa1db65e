/** Load reports and their sums by server. */

/** Load at one server. */
export interface ServerLoad {
  /** Number of requests. */
  inFlight: number;
  /** Prompt tokens that are not prefilled yet. */
  pendingPrefillTokens: number;
  /** Tokens of all requests in flight. */
  inFlightTokens: number;
  /** Prompt tokens sent for prefill per millisecond, a decaying average. */
  prefillTokensPerMs: number;
}

/** Load of one instance, or of several, at one server. */
export type LoadRow = [
  /** Hash of the server's id. */
  serverHash: number,
  /** The remaining elements are the fields of {@link ServerLoad}. */
  inFlight: number,
  pendingPrefillTokens: number,
  inFlightTokens: number,
  prefillTokensPerMs: number,
];

/** Load report: the load of one instance, or of several, by server. */
export type LoadReport = readonly LoadRow[];

export const NO_LOAD: Readonly<ServerLoad> = {
  inFlight: 0,
  pendingPrefillTokens: 0,
  inFlightTokens: 0,
  prefillTokensPerMs: 0,
};

/** Adds the rows of a report to sums by server; subtracts them if `sign` is -1. */
export function addReport(
  sums: Map<number, ServerLoad>,
  report: LoadReport,
  sign: 1 | -1 = 1,
): void {
  for (const [serverHash, inFlight, pendingTokens, tokens, rate] of report) {
    let sum = sums.get(serverHash);
    if (!sum) {
      sum = {...NO_LOAD};
      sums.set(serverHash, sum);
    }
    sum.inFlight = Math.max(0, sum.inFlight + sign * inFlight);
    sum.pendingPrefillTokens = Math.max(
      0,
      sum.pendingPrefillTokens + sign * pendingTokens,
    );
    sum.inFlightTokens = Math.max(0, sum.inFlightTokens + sign * tokens);
    sum.prefillTokensPerMs = Math.max(0, sum.prefillTokensPerMs + sign * rate);
  }
}

export function listRows(sums: ReadonlyMap<number, ServerLoad>): LoadReport {
  return [...sums].map(([serverHash, sum]) => [
    serverHash,
    sum.inFlight,
    sum.pendingPrefillTokens,
    sum.inFlightTokens,
    sum.prefillTokensPerMs,
  ]);
}

/**
 * Computes the mean difference of the requests in flight at a server between two
 * states; undefined if no server has any.
 */
export function computeLoadError(
  before: ReadonlyMap<number, ServerLoad>,
  after: ReadonlyMap<number, ServerLoad>,
): number | undefined {
  const hashes = new Set([...before.keys(), ...after.keys()]);
  let sum = 0;
  for (const hash of hashes) {
    const earlier = before.get(hash) ?? NO_LOAD;
    sum += Math.abs(earlier.inFlight - (after.get(hash) ?? NO_LOAD).inFlight);
  }
  return hashes.size > 0 ? sum / hashes.size : undefined;
}
