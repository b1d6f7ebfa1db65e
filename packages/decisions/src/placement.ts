/** Choice of a backend server for a request. */
import type {RandomSource} from '@buckthornbeam/shared';

/** What an entry knows of a server that holds the model. */
export interface PlacementCandidate {
  serverId: string;
  /** Requests that may run at once. */
  limit: number;
  inFlight: number;
  queued: number;
  /** Requests that this entry sent since the summary was made. */
  sentSince: number;
}

/** Computes the load relative to the limit; a full server has 1 or more. */
export function computeRelativeLoad(candidate: PlacementCandidate): number {
  const work = candidate.inFlight + candidate.queued + candidate.sentSince;
  return candidate.limit > 0 ? work / candidate.limit : Infinity;
}

/** Places a request on the server with the least relative load. */
export function placeRequest(
  candidates: readonly PlacementCandidate[],
  random: RandomSource,
): PlacementCandidate | undefined {
  const first = candidates.length > 0 ? random.nextInt(candidates.length) : 0;
  let best: PlacementCandidate | undefined;
  for (let index = 0; index < candidates.length; index++) {
    // A random start spreads equal candidates over the entries.
    const candidate = candidates[(first + index) % candidates.length]!;
    if (
      best === undefined ||
      computeRelativeLoad(candidate) < computeRelativeLoad(best)
    ) {
      best = candidate;
    }
  }
  return best;
}
