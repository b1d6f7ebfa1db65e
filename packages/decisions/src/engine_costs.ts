/**
 * Costs of placing a generation on a model server. All costs are expressed in
 * milliseconds of waiting, so that they can be added.
 */
import type {
  EngineCandidate,
  EngineRequest,
  PlacementOptions,
} from './engine_candidate.js';

/**
 * Longest prompt that counts as short. Its prefill delays the other answers on
 * the server by about a tenth of a second at most.
 */
const SHORT_PROMPT_TOKENS = 5000;
/**
 * Cost of a millisecond of prefill on idle servers. A prefill delays the other
 * requests on the server as well as its own.
 */
const PREFILL_WEIGHT = 8;
/**
 * Pending prefill of the median server that adds one to the prefill weight. If
 * every server has a backlog, a repeated prefill of a shared prefix only makes
 * all requests wait longer.
 */
const WAIT_PER_WEIGHT_MS = 4;
/** Cost of a short prompt on a server for long prompts. */
const SHORT_AMONG_LONG_COST_MS = 100;
/**
 * Cost of a long prompt on a server for short prompts. It delays many short
 * answers, so it pays only while those servers are idle.
 */
const LONG_AMONG_SHORT_COST_MS = 4000;
/** Cost of a server that fails every request. */
const FAILURE_COST_MS = 4000;
/** Cost of each request in flight on the server. */
const RUNNING_REQUEST_COST_MS = 3;
/** Cost of each request beyond the server's slots. */
const QUEUED_REQUEST_COST_MS = 60;
/** Cost of a server whose KV cache would have to evict other requests. */
const FULL_MEMORY_COST_MS = 8000;
/**
 * Prompt tokens prefilled in one step, between two output tokens of running
 * answers.
 */
const PREFILL_CHUNK_TOKENS = 2048;
/** Duration of a step without prefill on an idle server. */
const DECODE_STEP_MS = 3;
/** Time that each running answer adds to a step. */
const DECODE_STEP_MS_PER_ANSWER = 0.12;
/**
 * Upper bound of the prefill ratio: no server prefills all the time for long.
 */
const MAXIMUM_PREFILL_RATIO = 0.97;
/**
 * Ratio of a target time from which an answer counts as late; leaves a margin.
 */
const SAFE_TIME_RATIO = 0.85;
/** Cost of each millisecond by which the first event is late. */
const LATE_FIRST_EVENT_WEIGHT = 1;
/** Cost of each millisecond by which the complete answer is late. */
const MISSED_DEADLINE_WEIGHT = 2;
/**
 * Cost of a server whose pending prefill takes longer than the target pause
 * between two events: every answer there would be late.
 */
const LATE_PAUSE_COST_MS = 500;
/** Ratio of the prefill time to the target pause from which the cost rises. */
const SAFE_PAUSE_RATIO = 0.4;
/** Ratio at which the cost is full; below 1, since some servers are slower. */
const FULL_COST_PAUSE_RATIO = 0.8;
/**
 * Assumed requests in flight of each other instance at a server, relative to
 * this instance's own. Covers requests that peers have not reported yet.
 */
const PEER_REQUESTS_RATIO = 0.5;
/**
 * Ratio of the prefill of a shared prefix not charged to its preferred server.
 */
const PREFERRED_DISCOUNT_RATIO = 0.5;
/** Ratio of a server's KV cache that requests in flight may fill. */
const MEMORY_LIMIT_RATIO = 0.85;

export function isShortPrompt(promptTokens: number): boolean {
  return promptTokens <= SHORT_PROMPT_TOKENS;
}

/**
 * Estimates the requests in flight at a server. In a burst of short prompts,
 * all instances choose the server whose load reports are the oldest, since it
 * looks idle; this instance's own requests there indicate how many the others
 * have sent since. Long prompts are excluded: they share a server on purpose.
 */
function estimateInFlight(
  candidate: EngineCandidate,
  request: EngineRequest,
  instances: number,
): number {
  return isShortPrompt(request.promptTokens)
    ? Math.max(
        candidate.inFlight,
        candidate.ownInFlight * (1 + PEER_REQUESTS_RATIO * (instances - 1)),
      )
    : candidate.inFlight;
}

function computeCrowdingCost(
  candidate: EngineCandidate,
  request: EngineRequest,
  instances: number,
): number {
  const inFlight = estimateInFlight(candidate, request, instances);
  const excess = Math.max(0, inFlight + 1 - candidate.slots);
  const tokens =
    candidate.inFlightTokens +
    countPrefillTokens(candidate, request) +
    request.outputTokens;
  const isFull = tokens > candidate.kvCacheTokens * MEMORY_LIMIT_RATIO;
  return (
    inFlight * RUNNING_REQUEST_COST_MS +
    excess * QUEUED_REQUEST_COST_MS +
    (isFull ? FULL_MEMORY_COST_MS : 0)
  );
}

/** Counts the prompt tokens that the server has to prefill without a copy. */
export function countPrefillTokens(
  candidate: EngineCandidate,
  request: EngineRequest,
): number {
  const cachedTokens = Math.min(candidate.cachedTokens, request.sharedTokens);
  return request.promptTokens - cachedTokens;
}

/**
 * Counts the prefill tokens to charge to a server. The preferred server gets a
 * discount on the shared prefix: other instances send prompts with the same
 * prefix there, which reuse the prefill.
 */
export function countChargedTokens(
  prefillTokens: number,
  request: EngineRequest,
  isPreferred: boolean,
): number {
  const ownTokens = request.promptTokens - request.sharedTokens;
  const sharedPrefillTokens = Math.max(0, prefillTokens - ownTokens);
  return isPreferred
    ? prefillTokens - sharedPrefillTokens * PREFERRED_DISCOUNT_RATIO
    : prefillTokens;
}

/**
 * Estimates the time between two output tokens of one answer, in milliseconds.
 * While a server prefills, each step also processes a whole prompt chunk.
 */
export function estimateTokenMs(
  candidate: Pick<EngineCandidate, 'inFlight' | 'prefillTokensPerMs'>,
  tokensPerMs: number,
): number {
  const prefillRatio = Math.min(
    MAXIMUM_PREFILL_RATIO,
    candidate.prefillTokensPerMs / tokensPerMs,
  );
  const stepMs =
    DECODE_STEP_MS + DECODE_STEP_MS_PER_ANSWER * candidate.inFlight;
  const prefillStepMs = stepMs + PREFILL_CHUNK_TOKENS / tokensPerMs;
  return 1 / ((1 - prefillRatio) / stepMs + prefillRatio / prefillStepMs);
}

/** Cost of a late first event and of an answer that is not complete in time. */
function computeLatenessCost(
  request: EngineRequest,
  prefillEndMs: number,
  endMs: number,
): number {
  const lateMs = Math.max(0, prefillEndMs - request.targetMs * SAFE_TIME_RATIO);
  const missedMs = Math.max(0, endMs - request.remainingMs * SAFE_TIME_RATIO);
  return lateMs * LATE_FIRST_EVENT_WEIGHT + missedMs * MISSED_DEADLINE_WEIGHT;
}

/**
 * Cost of pauses between events. An event is late if its tokens are all
 * generated in consecutive steps that also prefill.
 */
function computePauseCost(
  candidate: EngineCandidate,
  {pauseMs}: EngineRequest,
  prefillTokens: number,
  {tokensPerMs, tokensPerEvent = 0}: PlacementOptions,
): number {
  const prefillStepMs =
    DECODE_STEP_MS +
    DECODE_STEP_MS_PER_ANSWER * candidate.inFlight +
    PREFILL_CHUNK_TOKENS / tokensPerMs;
  if (
    pauseMs === undefined ||
    tokensPerEvent * prefillStepMs < pauseMs * SAFE_PAUSE_RATIO
  ) {
    return 0;
  }
  const prefillMs =
    ((candidate.pendingPrefillTokens + prefillTokens) / PREFILL_CHUNK_TOKENS) *
    prefillStepMs;
  const excess =
    (prefillMs / pauseMs - SAFE_PAUSE_RATIO) /
    (FULL_COST_PAUSE_RATIO - SAFE_PAUSE_RATIO);
  return LATE_PAUSE_COST_MS * Math.min(1, Math.max(0, excess));
}

function computePoolCost(
  {serverId}: EngineCandidate,
  {promptTokens}: EngineRequest,
  shortPool: ReadonlySet<string>,
): number {
  const isShort = isShortPrompt(promptTokens);
  if (shortPool.size === 0 || shortPool.has(serverId) === isShort) {
    return 0;
  }
  return isShort ? SHORT_AMONG_LONG_COST_MS : LONG_AMONG_SHORT_COST_MS;
}

/** Computes the total cost of a server for a generation; the lowest is best. */
export function computeCost(
  candidate: EngineCandidate,
  request: EngineRequest,
  {
    prefillTokens,
    chargedTokens,
  }: {prefillTokens: number; chargedTokens: number},
  timing: {prefillEndMs: number; endMs: number},
  options: PlacementOptions & {prefillWeight: number},
): number {
  const {tokensPerMs, shortPool} = options;
  return (
    candidate.pendingPrefillTokens / tokensPerMs +
    (options.prefillWeight * chargedTokens) / tokensPerMs +
    computeCrowdingCost(candidate, request, options.instances) +
    computeLatenessCost(request, timing.prefillEndMs, timing.endMs) +
    computePauseCost(candidate, request, prefillTokens, options) +
    candidate.failureRate * FAILURE_COST_MS +
    computePoolCost(candidate, request, shortPool)
  );
}

/**
 * Computes the cost of a millisecond of prefill at the current load. The median
 * ignores single servers that are overloaded by a hot prefix.
 */
export function computePrefillWeight(
  candidates: readonly EngineCandidate[],
  request: EngineRequest,
  tokensPerMs: number,
): number {
  // A higher weight would keep a burst of short prompts on preferred servers.
  if (isShortPrompt(request.promptTokens)) {
    return PREFILL_WEIGHT;
  }
  const pending = candidates
    .map(item => item.pendingPrefillTokens)
    .sort((a, b) => a - b);
  const median = pending[Math.floor(pending.length / 2)] ?? 0;
  return PREFILL_WEIGHT + median / tokensPerMs / WAIT_PER_WEIGHT_MS;
}
