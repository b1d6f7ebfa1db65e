/**
 * Places generations on model servers: where the prompt's shared parts are in
 * memory, unless waiting there costs more than reading them again elsewhere.
 */
import {findByRendezvous} from '@buckthornbeam/shared';
import type {
  EngineCandidate,
  EngineRequest,
  PlacementOptions,
} from './engine_candidate.js';
import {
  computeCost,
  computeReadingWeight,
  countChargedTokens,
  countUnread,
  estimateTokenMs,
  isShortPrompt,
} from './engine_costs.js';
import {findCopySource, planCopy} from './memory_copy.js';

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
 * Part of the cost of reading that a copy costs. It takes hardly any time, but
 * traffic between servers, and memory at both that other prompts have to yield.
 */
const COPYING_PART = 0.25;

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
  const readingWeight = computeReadingWeight(
    candidates,
    request,
    options.tokensPerMs,
  );
  return findCheapest(candidates, request, home, {...options, readingWeight});
}
