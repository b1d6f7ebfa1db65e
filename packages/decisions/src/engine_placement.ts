/**
 * Places generations on model servers: where the prompt's shared prefix is
 * cached, unless waiting there costs more than a second prefill elsewhere.
 */
import {findByRendezvous} from '@buckthornbeam/shared';
import type {
  EngineCandidate,
  EngineRequest,
  PlacementOptions,
} from './engine_candidate.js';
import {
  computeCost,
  computePrefillWeight,
  countChargedTokens,
  countPrefillTokens,
  estimateTokenMs,
  isShortPrompt,
} from './engine_costs.js';
import {findCopySource, planCopy} from './cache_copy.js';

/** The server chosen for a generation, with its estimated times. */
export interface EnginePlacement {
  serverId: string;
  /** Prompt tokens that the server has to prefill. */
  prefillTokens: number;
  /** Server from which the cached prefix is copied before the prefill. */
  copySourceId: string | undefined;
  /** Prompt tokens copied from that server; 0 without a copy. */
  copiedTokens: number;
  /** Whether the server is the preferred server of the shared prefix. */
  isPreferred: boolean;
  /** Estimated time until the prefill ends, in milliseconds. */
  expectedPrefillMs: number;
  /** Estimated time until the answer is complete, in milliseconds. */
  expectedEndMs: number;
}

/**
 * Cost of copying a cached token relative to its prefill. A copy takes little
 * time, but uses bandwidth between the servers and takes cache memory from
 * other prompts on both.
 */
const COPY_COST_RATIO = 0.25;

/**
 * Finds the server that all instances prefer for the shared prefix, by
 * rendezvous hashing over the pool for the prompt's length.
 */
function findPreferredServer(
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
  const serverIds = (pool.length > 0 ? pool : candidates).map(
    item => item.serverId,
  );
  return findByRendezvous(request.sharedKey, serverIds);
}

/** Finds the server with the lowest cost; ties go to the preferred server. */
function findCheapest(
  candidates: readonly EngineCandidate[],
  request: EngineRequest,
  preferredId: string | undefined,
  options: PlacementOptions & {prefillWeight: number},
): EnginePlacement | undefined {
  const {tokensPerMs, copiedTokensPerMs = 0} = options;
  const source = copiedTokensPerMs > 0 ? findCopySource(candidates) : undefined;
  let best: (EnginePlacement & {cost: number}) | undefined;
  for (const candidate of candidates) {
    const {serverId} = candidate;
    const isPreferred = serverId === preferredId;
    const copy = planCopy(candidate, request, source);
    const prefillTokens = countPrefillTokens(candidate, request) - copy.tokens;
    const chargedTokens =
      countChargedTokens(prefillTokens, request, isPreferred) +
      copy.tokens * COPY_COST_RATIO;
    const copyMs = copy.tokens > 0 ? copy.tokens / copiedTokensPerMs : 0;
    const prefillEndMs =
      copyMs + (candidate.pendingPrefillTokens + prefillTokens) / tokensPerMs;
    const endMs =
      prefillEndMs +
      request.outputTokens * estimateTokenMs(candidate, tokensPerMs);
    const timing = {prefillEndMs, endMs};
    const prefill = {prefillTokens, chargedTokens};
    const cost = computeCost(candidate, request, prefill, timing, options);
    if (!best || cost < best.cost || (cost === best.cost && isPreferred)) {
      best = {
        serverId,
        prefillTokens,
        copySourceId: copy.sourceId,
        copiedTokens: copy.tokens,
        isPreferred,
        expectedPrefillMs: prefillEndMs,
        expectedEndMs: endMs,
        cost,
      };
    }
  }
  return best;
}

/** Places a generation; returns undefined if there are no candidates. */
export function placeGeneration(
  candidates: readonly EngineCandidate[],
  request: EngineRequest,
  options: PlacementOptions,
): EnginePlacement | undefined {
  const preferredId = findPreferredServer(
    candidates,
    request,
    options.shortPool,
  );
  const prefillWeight = computePrefillWeight(
    candidates,
    request,
    options.tokensPerMs,
  );
  return findCheapest(candidates, request, preferredId, {
    ...options,
    prefillWeight,
  });
}
