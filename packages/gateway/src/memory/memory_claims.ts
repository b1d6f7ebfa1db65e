/** Order in which the users of memory give way to others. */

/** What memory is used for. */
export const MemoryUse = {
  /** Head of a request that is not complete. */
  HEAD: 'head',
  /** Body of a request that is not complete. */
  RECEIVING: 'receiving',
  /** Complete body of a request. */
  BODY: 'body',
  /** Buffered part of a server's response. */
  RESPONSE: 'response',
  /** Written to a client, and not yet read by it. */
  UNREAD: 'unread',
} as const;
export type MemoryUse = (typeof MemoryUse)[keyof typeof MemoryUse];

export interface MemoryClaim {
  use: MemoryUse;
  /** Whether the request has a known key, or needs none. */
  isKnown: boolean;
  /** Time at which the sender or the reader last went on, in milliseconds. */
  progressAt: number;
}

/** Longer than a lost packet takes; a sender without a pause of this length is not slow. */
const STALL_MS = 400;

/** Uses that wait for a client. */
const WAITS_FOR_CLIENT: Readonly<Record<MemoryUse, boolean>> = {
  [MemoryUse.HEAD]: true,
  [MemoryUse.RECEIVING]: true,
  [MemoryUse.BODY]: false,
  [MemoryUse.RESPONSE]: false,
  [MemoryUse.UNREAD]: true,
};

/** Places in the order in which claims give way; the lowest is first. */
const Standing = {
  UNKNOWN_STALLED: 0,
  UNKNOWN: 1,
  STALLED: 2,
  RECEIVING: 3,
  KEPT: 4,
} as const;

function computeStanding(claim: MemoryClaim, now: number): number {
  if (!WAITS_FOR_CLIENT[claim.use]) {
    return Standing.KEPT;
  }
  const isStalled = now - claim.progressAt >= STALL_MS;
  if (!claim.isKnown) {
    return isStalled ? Standing.UNKNOWN_STALLED : Standing.UNKNOWN;
  }
  if (isStalled) {
    return Standing.STALLED;
  }
  // The response has run, so that its reader is not given up while it goes on.
  return claim.use === MemoryUse.RECEIVING ? Standing.RECEIVING : Standing.KEPT;
}

/** Whether the holder gives way to the claimant. */
export function canEvict(
  claimant: MemoryClaim,
  holder: MemoryClaim,
  now: number,
): boolean {
  return computeStanding(holder, now) < computeStanding(claimant, now);
}

/** Compares holders by the order in which they give way. */
export function compareClaims(
  first: MemoryClaim,
  second: MemoryClaim,
  now: number,
): number {
  return (
    computeStanding(first, now) - computeStanding(second, now) ||
    first.progressAt - second.progressAt
  );
}
