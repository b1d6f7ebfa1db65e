/**
 * Places generations on model servers: where the prompt's shared parts are in
 * memory, unless waiting there costs more than reading them again elsewhere.
 */
import {findByRendezvous} from '@buckthornbeam/shared';

/** What an instance knows of a model server. */
export interface EngineCandidate {
  serverId: string;
  /** Requests that it works on at once. */
  slots: number;
  memoryTokens: number;
  /** Requests in flight from all instances. */
  inFlight: number;
  /** Requests in flight from this instance alone. */
  ownInFlight: number;
  /** Prompt tokens that are still to be read there. */
  unreadTokens: number;
  /** Tokens of all requests in flight. */
  inFlightTokens: number;
  /** Prompt tokens that were sent to it lately, per millisecond. */
  readingPerMs: number;
  /** Tokens of the request's prompt that it holds, or will by its turn. */
  heldTokens: number;
  /** Tokens of the request's prompt that it is known to have read. */
  readTokens: number;
  /** Recent share of failed requests, from 0 to 1. */
  failureRate: number;
}

/** The generation that is placed. */
export interface EngineRequest {
  promptTokens: number;
  /** Tokens of the parts that other requests share. */
  sharedTokens: number;
  /** Identity of the shared parts; empty where nothing is shared. */
  sharedKey: string;
  outputTokens: number;
  /** Time within which the first event is on time, in milliseconds. */
  targetMs: number;
  /** Longest pause between events that is on time, in milliseconds. */
  pauseMs?: number | undefined;
  /** Time left until the answer must be whole, in milliseconds. */
  leftMs: number;
}

/** Options of {@link placeGeneration}. */
export interface PlacementOptions {
  /** Prompt tokens that a server reads in a millisecond. */
  tokensPerMs: number;
  /** Output tokens in one event of a stream. */
  tokensPerEvent?: number;
  /**
   * Tokens of memory that one server copies from another in a millisecond; 0
   * where servers cannot copy.
   */
  copiedTokensPerMs?: number;
  /** Servers set apart for short prompts. */
  shortPool: ReadonlySet<string>;
  /** Instances that send requests, with this one. */
  instances: number;
}

/** Where a generation goes. */
export interface EnginePlacement {
  serverId: string;
  /** Tokens that the server has to read. */
  unreadTokens: number;
  /** Server from which it first copies what that one holds of the prompt. */
  copySourceId: string | undefined;
  /** Tokens that are copied. */
  copiedTokens: number;
  /** The server is the one on which prompts with these parts gather. */
  isHome: boolean;
  /** Expected time until the prompt is read, in milliseconds. */
  expectedReadMs: number;
  /** Expected time until the answer is whole, in milliseconds. */
  expectedEndMs: number;
}

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
/**
 * Part of the cost of reading that a copy costs. It takes hardly any time, but
 * traffic between servers, and memory at both that other prompts have to yield.
 */
const COPYING_PART = 0.25;
/** Fewer tokens are read faster than a copy is set up. */
const LEAST_COPIED_TOKENS = 512;
/** Part of a server's memory that requests in flight may fill. */
const MEMORY_BOUND = 0.85;

/** Whether a prompt counts as short. */
function isShortPrompt(promptTokens: number): boolean {
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

function countUnread(
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
function countChargedTokens(
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

function computeCost(
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
  tokensPerMs: number,
): number {
  const unread = candidates
    .map(item => item.unreadTokens)
    .sort((a, b) => a - b);
  const median = unread[Math.floor(unread.length / 2)] ?? 0;
  return READING_WEIGHT + median / tokensPerMs / WAIT_PER_WEIGHT_MS;
}

/** Finds the server on which all instances gather prompts with these parts. */
function findHome(
  candidates: readonly EngineCandidate[],
  request: EngineRequest,
  shortPool: ReadonlySet<string>,
): string | undefined {
  if (request.sharedKey === '') {
    return undefined;
  }
  const isShort = isShortPrompt(request.promptTokens);
  const pool = candidates.filter(
    item => shortPool.has(item.serverId) === isShort,
  );
  const ids = (pool.length > 0 ? pool : candidates).map(item => item.serverId);
  return findByRendezvous(request.sharedKey, ids);
}

/** What a server copies from another before it reads. */
interface MemoryCopy {
  sourceId: string | undefined;
  tokens: number;
}

const NO_COPY: MemoryCopy = {sourceId: undefined, tokens: 0};

/** Finds the server that has read most of the shared parts. */
function findCopySource(
  candidates: readonly EngineCandidate[],
): EngineCandidate | undefined {
  let best: EngineCandidate | undefined;
  for (const candidate of candidates) {
    if (!best || candidate.readTokens > best.readTokens) {
      best = candidate;
    }
  }
  return best;
}

/** Plans what a server copies of a prompt that another holds more of. */
function planCopy(
  candidate: EngineCandidate,
  request: EngineRequest,
  source: EngineCandidate | undefined,
): MemoryCopy {
  if (!source || source === candidate) {
    return NO_COPY;
  }
  const held = Math.min(candidate.heldTokens, request.sharedTokens);
  const tokens = Math.min(source.readTokens, request.sharedTokens) - held;
  return tokens >= LEAST_COPIED_TOKENS
    ? {sourceId: source.serverId, tokens}
    : NO_COPY;
}

/** Finds the server of least cost. */
function findCheapest(
  candidates: readonly EngineCandidate[],
  request: EngineRequest,
  home: string | undefined,
  options: PlacementOptions & {readingWeight: number},
): EnginePlacement | undefined {
  const {tokensPerMs, copiedTokensPerMs = 0} = options;
  const source = copiedTokensPerMs > 0 ? findCopySource(candidates) : undefined;
  let best: (EnginePlacement & {cost: number}) | undefined;
  for (const candidate of candidates) {
    const {serverId} = candidate;
    const isHome = serverId === home;
    const copy = planCopy(candidate, request, source);
    const unreadTokens = countUnread(candidate, request) - copy.tokens;
    const chargedTokens =
      countChargedTokens(unreadTokens, request, isHome) +
      copy.tokens * COPYING_PART;
    const copyMs = copy.tokens > 0 ? copy.tokens / copiedTokensPerMs : 0;
    const readMs =
      copyMs + (candidate.unreadTokens + unreadTokens) / tokensPerMs;
    const endMs =
      readMs + request.outputTokens * estimateTokenMs(candidate, tokensPerMs);
    const times = {readMs, endMs};
    const reading = {unreadTokens, chargedTokens};
    const cost = computeCost(candidate, request, reading, times, options);
    if (!best || cost < best.cost || (cost === best.cost && isHome)) {
      best = {
        serverId,
        unreadTokens,
        copySourceId: copy.sourceId,
        copiedTokens: copy.tokens,
        isHome,
        expectedReadMs: readMs,
        expectedEndMs: endMs,
        cost,
      };
    }
  }
  return best;
}

/** Places a generation; undefined where there is no candidate. */
export function placeGeneration(
  candidates: readonly EngineCandidate[],
  request: EngineRequest,
  options: PlacementOptions,
): EnginePlacement | undefined {
  const home = findHome(candidates, request, options.shortPool);
  // A burst of short prompts would be held at their homes by a higher weight.
  const readingWeight = isShortPrompt(request.promptTokens)
    ? READING_WEIGHT
    : computeReadingWeight(candidates, options.tokensPerMs);
  return findCheapest(candidates, request, home, {...options, readingWeight});
}
