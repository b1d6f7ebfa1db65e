/**
 * Chooses a backend server for a request from the load summaries of all
 * servers.
 */
import type {RandomSource} from '@buckthornbeam/shared';

/** A server that serves the model, by the last load summary of its owner. */
export interface PlacementCandidate {
  serverId: string;
  /** Maximum number of concurrent requests. */
  limit: number;
  inFlight: number;
  queued: number;
  /** Requests that this instance has sent since the summary was created. */
  sentSince: number;
  /** Queueing delay that the owner estimates, in milliseconds. */
  expectedWaitMs: number;
  /** Time per output token of one stream, in milliseconds; 0 if unknown. */
  msPerToken: number;
  isSlowServer: boolean;
  /**
   * Largest tier number (lowest priority) among the queued and the preemptible
   * running requests; 0 if there is none.
   */
  lowestTier: number;
  /** Age of the summary, in milliseconds. */
  ageMs: number;
}

/** The request to place. */
export interface PlacementRequest {
  /** Priority; 1 is the highest. */
  tier: number;
  /** Target time between output tokens, in milliseconds. */
  betweenTokensMs: number;
  /** Server that last processed a request with the same prompt prefix. */
  prefixServerId?: string | undefined;
}

/**
 * Relative load from which a server is no longer chosen for its prefix cache.
 */
const AFFINITY_LOAD_RATIO = 0.75;
/**
 * Age from which a summary is stale. If all are stale, two random servers are
 * compared, so that instances with the same outdated view spread their
 * requests.
 */
const STALE_SUMMARY_MS = 1500;

function countRequests(candidate: PlacementCandidate): number {
  return candidate.inFlight + candidate.queued + candidate.sentSince;
}

/** Computes the ratio of requests to the limit; 1 or more for a full server. */
export function computeRelativeLoad(candidate: PlacementCandidate): number {
  const {limit} = candidate;
  return limit > 0 ? countRequests(candidate) / limit : Infinity;
}

function hasRoom(candidate: PlacementCandidate): boolean {
  return countRequests(candidate) < candidate.limit;
}

/** Whether the server runs or queues a request of lower priority. */
function canPreempt(candidate: PlacementCandidate, tier: number): boolean {
  return candidate.lowestTier > tier;
}

/** A slow server is avoided only by requests whose token target it misses. */
function isTooSlow(
  candidate: PlacementCandidate,
  request: PlacementRequest,
): boolean {
  return (
    candidate.isSlowServer && candidate.msPerToken > request.betweenTokensMs
  );
}

/** Sort order of servers for a request; the better one comes first. */
function compareCandidates(
  a: PlacementCandidate,
  b: PlacementCandidate,
  request: PlacementRequest,
): number {
  return (
    Number(isTooSlow(a, request)) - Number(isTooSlow(b, request)) ||
    Number(hasRoom(b)) - Number(hasRoom(a)) ||
    (hasRoom(a) ? 0 : compareFullServers(a, b, request)) ||
    computeRelativeLoad(a) - computeRelativeLoad(b)
  );
}

/** Full servers: one that can preempt comes first, then the shorter wait. */
function compareFullServers(
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
    !found.isSlowServer &&
    computeRelativeLoad(found) < AFFINITY_LOAD_RATIO;
  return isUsable ? found : undefined;
}

function chooseBest(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  random: RandomSource,
): PlacementCandidate | undefined {
  const first = candidates.length > 0 ? random.nextInt(candidates.length) : 0;
  let best: PlacementCandidate | undefined;
  for (let index = 0; index < candidates.length; index++) {
    // Instances start at random positions, so that ties do not all go to one
    // server.
    const candidate = candidates[(first + index) % candidates.length]!;
    if (!best || compareCandidates(candidate, best, request) < 0) {
      best = candidate;
    }
  }
  return best;
}

/**
 * Chooses a server for a request, in this order of preference:
 *
 * 1. the server that has its prefix cached, unless that is slow or its relative
 *    load has reached {@link AFFINITY_LOAD_RATIO};
 * 2. the server with free capacity and the lowest relative load;
 * 3. a full server with work of lower priority, which can be preempted;
 * 4. the server with the shortest expected wait.
 *
 * Slow servers that would miss the token target come last. Returns undefined
 * if there are no candidates.
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
    return chooseBest(selectPair(candidates, random), request, random);
  }
  return chooseBest(fresh.length > 0 ? fresh : candidates, request, random);
}
