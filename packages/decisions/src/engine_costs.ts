/** What a choice of a model server costs, in milliseconds of waiting. */
import type {
  EngineCandidate,
  EngineRequest,
  PlacementOptions,
} from './engine_candidate.js';

/**
 * A prompt up to so many tokens counts as short: reading it stretches the
 * pauses of other answers by about a tenth of a second at most.
 */
const SHORT_PROMPT_TOKENS = 5000;
/**
 * Weight of reading against waiting on idle servers. Reading takes time from
 * the others on the server as well as from the request itself.
 */
const READING_WEIGHT = 8;
/**
 * Waiting of the median server that adds one to the weight, in milliseconds.
 * When every server is behind, reading parts again only makes all wait longer.
 */
const WAIT_PER_WEIGHT_MS = 4;
/** Cost of a short prompt among long ones, in milliseconds of waiting. */
const SHORT_AMONG_LONG_COST_MS = 100;
/**
 * Cost of a long prompt among short ones, in milliseconds of waiting. It makes
 * many short answers late, so only an idle pool is worth it.
 */
const LONG_AMONG_SHORT_COST_MS = 4000;
/** Cost of a server that fails every request, in milliseconds of waiting. */
const FAILURE_COST_MS = 4000;
/** Cost of one more answer generated beside, in milliseconds. */
const RUNNING_COST_MS = 3;
/** Cost of each request beyond the slots, in milliseconds. */
const QUEUED_COST_MS = 60;
/** Cost of memory that other requests would have to yield, in milliseconds. */
const FULL_MEMORY_COST_MS = 8000;
/** Tokens read in one step between two tokens of the answers under way. */
const STEP_TOKENS = 2048;
/** Time of a step without reading, in milliseconds, for an idle server. */
const STEP_MS = 3;
/** What each answer under way adds to a step, in milliseconds. */
const STEP_MS_PER_ANSWER = 0.12;
/** Reading never takes the whole of a server's time for long. */
const MOST_READING = 0.97;
/** Part of the time left after which an answer counts as late. */
const SAFE_PART = 0.85;
/** Cost of each millisecond beyond the target, in milliseconds of waiting. */
const LATE_WEIGHT = 1;
/** Cost of each millisecond beyond the time left, in milliseconds of waiting. */
const MISSED_WEIGHT = 2;
/**
 * Cost of a server that reads for longer without a break than the pause between
 * two events may last, in milliseconds of waiting: every answer there is late.
 */
const LATE_PAUSE_COST_MS = 500;
/** Part of that time from which on the cost rises. */
const SAFE_PAUSE_PART = 0.4;
/** Part of that time at which it is full; a server can be slower than most. */
const FULL_PAUSE_PART = 0.8;
/**
 * Part of the own requests in flight that every other instance is taken to have
 * at the server as well, until its report says so.
 */
const PEER_PART = 0.5;
/** Part of the reading of shared parts that a home is not charged for. */
const HOME_DISCOUNT = 0.5;
/** Part of a server's memory that requests in flight may fill. */
const MEMORY_BOUND = 0.85;

/** Whether a prompt counts as short. */
export function isShortPrompt(promptTokens: number): boolean {
  return promptTokens <= SHORT_PROMPT_TOKENS;
}

/**
 * Estimates the requests in flight for a short prompt. In a burst all instances
 * prefer the server whose reports are the oldest; what this one sent there
 * tells what the others have sent since. Long prompts gather on purpose.
 */
function estimateInFlight(
  candidate: EngineCandidate,
  request: EngineRequest,
  instances: number,
): number {
  return isShortPrompt(request.promptTokens)
    ? Math.max(
        candidate.inFlight,
        candidate.ownInFlight * (1 + PEER_PART * (instances - 1)),
      )
    : candidate.inFlight;
}

function computeCrowdingCost(
  candidate: EngineCandidate,
  request: EngineRequest,
  instances: number,
): number {
  const inFlight = estimateInFlight(candidate, request, instances);
  const beyond = Math.max(0, inFlight + 1 - candidate.slots);
  const tokens =
    candidate.inFlightTokens +
    countUnread(candidate, request) +
    request.outputTokens;
  const isFull = tokens > candidate.memoryTokens * MEMORY_BOUND;
  return (
    inFlight * RUNNING_COST_MS +
    beyond * QUEUED_COST_MS +
    (isFull ? FULL_MEMORY_COST_MS : 0)
  );
}

/** Counts the tokens that the server has to read without a copy. */
export function countUnread(
  candidate: EngineCandidate,
  request: EngineRequest,
): number {
  const held = Math.min(candidate.heldTokens, request.sharedTokens);
  return request.promptTokens - held;
}

/**
 * Counts the tokens whose reading a choice of this server costs. Other
 * instances choose the same home, so reading there serves their prompts too.
 */
export function countChargedTokens(
  unread: number,
  request: EngineRequest,
  isHome: boolean,
): number {
  const ownTokens = request.promptTokens - request.sharedTokens;
  const sharedUnread = Math.max(0, unread - ownTokens);
  return isHome ? unread - sharedUnread * HOME_DISCOUNT : unread;
}

/**
 * Estimates the time between two tokens of one answer. While a server reads,
 * each step takes the time of a whole chunk of prompts.
 */
export function estimateTokenMs(
  candidate: EngineCandidate,
  tokensPerMs: number,
): number {
  const reading = Math.min(MOST_READING, candidate.readingPerMs / tokensPerMs);
  const stepMs = STEP_MS + STEP_MS_PER_ANSWER * candidate.inFlight;
  const readingStepMs = stepMs + STEP_TOKENS / tokensPerMs;
  return 1 / ((1 - reading) / stepMs + reading / readingStepMs);
}

/** Cost of an answer that comes late or not in time, in milliseconds of waiting. */
function computeLateness(
  request: EngineRequest,
  readMs: number,
  endMs: number,
): number {
  const lateMs = Math.max(0, readMs - request.targetMs * SAFE_PART);
  const missedMs = Math.max(0, endMs - request.leftMs * SAFE_PART);
  return lateMs * LATE_WEIGHT + missedMs * MISSED_WEIGHT;
}

/**
 * Cost of pauses between events. An event is late when reading fills as many
 * steps in a row as the event has tokens.
 */
function computePauseCost(
  candidate: EngineCandidate,
  {pauseMs}: EngineRequest,
  unreadTokens: number,
  {tokensPerMs, tokensPerEvent = 0}: PlacementOptions,
): number {
  const readingStepMs =
    STEP_MS +
    STEP_MS_PER_ANSWER * candidate.inFlight +
    STEP_TOKENS / tokensPerMs;
  if (
    pauseMs === undefined ||
    tokensPerEvent * readingStepMs < pauseMs * SAFE_PAUSE_PART
  ) {
    return 0;
  }
  const readingMs =
    ((candidate.unreadTokens + unreadTokens) / STEP_TOKENS) * readingStepMs;
  const excess =
    (readingMs / pauseMs - SAFE_PAUSE_PART) /
    (FULL_PAUSE_PART - SAFE_PAUSE_PART);
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

/** Computes the cost of a server for a generation, in milliseconds of waiting. */
export function computeCost(
  candidate: EngineCandidate,
  request: EngineRequest,
  {unreadTokens, chargedTokens}: {unreadTokens: number; chargedTokens: number},
  times: {readMs: number; endMs: number},
  options: PlacementOptions & {readingWeight: number},
): number {
  const {tokensPerMs, shortPool} = options;
  return (
    candidate.unreadTokens / tokensPerMs +
    (options.readingWeight * chargedTokens) / tokensPerMs +
    computeCrowdingCost(candidate, request, options.instances) +
    computeLateness(request, times.readMs, times.endMs) +
    computePauseCost(candidate, request, unreadTokens, options) +
    candidate.failureRate * FAILURE_COST_MS +
    computePoolCost(candidate, request, shortPool)
  );
}

/**
 * Computes what reading costs while the servers are as busy as they are. The
 * median leaves out single servers that a hot key has filled.
 */
export function computeReadingWeight(
  candidates: readonly EngineCandidate[],
  request: EngineRequest,
  tokensPerMs: number,
): number {
  // A burst of short prompts would be held at their homes by a higher weight.
  if (isShortPrompt(request.promptTokens)) {
    return READING_WEIGHT;
  }
  const unread = candidates
    .map(item => item.unreadTokens)
    .sort((a, b) => a - b);
  const median = unread[Math.floor(unread.length / 2)] ?? 0;
  return READING_WEIGHT + median / tokensPerMs / WAIT_PER_WEIGHT_MS;
}
