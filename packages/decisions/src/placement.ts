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
  /** Wait that the owner expects before a dispatch, in milliseconds. */
  expectedWaitMs: number;
  /** Time for each token of one stream, in milliseconds; 0 if unknown. */
  msPerToken: number;
  isStraggler: boolean;
  /** Lowest priority that is queued or runs; 0 if none. */
  lowestTier: number;
  /** Age of the owner's summary, in milliseconds. */
  ageMs: number;
}

/** The request that is placed. */
export interface PlacementRequest {
  tier: number;
  /** Target between tokens, in milliseconds. */
  betweenTokensMs: number;
  /** Server that has the longest prefix of the prompt in its cache. */
  prefixServerId?: string | undefined;
}

/** A server this full is not chosen for its prefix cache. */
const AFFINITY_LOAD_BOUND = 0.75;
/** Summaries older than this are compared by pairs at random. */
const STALE_SUMMARY_MS = 1500;

function countWork(candidate: PlacementCandidate): number {
  return candidate.inFlight + candidate.queued + candidate.sentSince;
}

/** Computes the load relative to the limit; a full server has 1 or more. */
export function computeRelativeLoad(candidate: PlacementCandidate): number {
  const {limit} = candidate;
  return limit > 0 ? countWork(candidate) / limit : Infinity;
}

function hasRoom(candidate: PlacementCandidate): boolean {
  return countWork(candidate) < candidate.limit;
}

/** A full server that could make room counts before one that could not. */
function canPreempt(candidate: PlacementCandidate, tier: number): boolean {
  return candidate.lowestTier > tier;
}

/** A straggler is good enough for classes that it can keep the target of. */
function isTooSlow(
  candidate: PlacementCandidate,
  request: PlacementRequest,
): boolean {
  return (
    candidate.isStraggler && candidate.msPerToken > request.betweenTokensMs
  );
}

/** Compares two servers for a request; the better one sorts first. */
function compareCandidates(
  a: PlacementCandidate,
  b: PlacementCandidate,
  request: PlacementRequest,
): number {
  return (
    Number(isTooSlow(a, request)) - Number(isTooSlow(b, request)) ||
    Number(hasRoom(b)) - Number(hasRoom(a)) ||
    (hasRoom(a) ? 0 : comparePressure(a, b, request)) ||
    computeRelativeLoad(a) - computeRelativeLoad(b)
  );
}

function comparePressure(
  a: PlacementCandidate,
  b: PlacementCandidate,
  {tier}: PlacementRequest,
): number {
  const byTier = Number(canPreempt(b, tier)) - Number(canPreempt(a, tier));
  return byTier || a.expectedWaitMs - b.expectedWaitMs;
}

function selectPair(
  candidates: readonly PlacementCandidate[],
  random: RandomSource,
): PlacementCandidate[] {
  const first = random.nextInt(candidates.length);
  const step = 1 + random.nextInt(candidates.length - 1);
  const second = (first + step) % candidates.length;
  return [candidates[first]!, candidates[second]!];
}

function findPrefixServer(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
): PlacementCandidate | undefined {
  const found = candidates.find(
    candidate => candidate.serverId === request.prefixServerId,
  );
  const isUsable =
    found !== undefined &&
    !found.isStraggler &&
    computeRelativeLoad(found) < AFFINITY_LOAD_BOUND;
  return isUsable ? found : undefined;
}

function chooseLeast(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  random: RandomSource,
): PlacementCandidate | undefined {
  const first = candidates.length > 0 ? random.nextInt(candidates.length) : 0;
  let best: PlacementCandidate | undefined;
  for (let index = 0; index < candidates.length; index++) {
    // A random start spreads equal candidates over the entries.
    const candidate = candidates[(first + index) % candidates.length]!;
    if (!best || compareCandidates(candidate, best, request) < 0) {
      best = candidate;
    }
  }
  return best;
}

/**
 * Places a request: on the server with its prefix if that has room to spare,
 * else on one with room and the least relative load, else where it can take
 * the place of a lower tier, else where the expected wait is least.
 */
export function placeRequest(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  random: RandomSource,
): PlacementCandidate | undefined {
  const prefixServer = findPrefixServer(candidates, request);
  if (prefixServer) {
    return prefixServer;
  }
  const fresh = candidates.filter(item => item.ageMs <= STALE_SUMMARY_MS);
  if (fresh.length === 0 && candidates.length > 2) {
    return chooseLeast(selectPair(candidates, random), request, random);
  }
  return chooseLeast(fresh.length > 0 ? fresh : candidates, request, random);
}
