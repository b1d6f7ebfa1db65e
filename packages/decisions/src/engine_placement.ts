/**
 * Places generations on model servers: where the prompt's shared prefix is
 * cached, unless waiting there costs more than a second prefill elsewhere.
 */
import {findByRendezvous} from '@buckthornbeam/shared';
import {chooseByShare, computeFill} from './even_load.js';
import type {
  EngineCandidate,
  EngineRequest,
  EvenLoadOptions,
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
 * Ratio of the target time up to which another prefill of a shared part counts as a
 * small difference: a third of the margin before an answer counts as late.
 */
const NEARLY_EQUAL_TIME_RATIO = 0.05;

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

type PricedPlacement = EnginePlacement & {
  cost: number;
  /** Speed of the server relative to the usual. */
  speed: number;
};

/** Estimates the times and the cost of each server. */
function listPriced(
  candidates: readonly EngineCandidate[],
  request: EngineRequest,
  preferredId: string | undefined,
  options: PlacementOptions & {prefillWeight: number},
): PricedPlacement[] {
  const {copiedTokensPerMs = 0} = options;
  const source = copiedTokensPerMs > 0 ? findCopySource(candidates) : undefined;
  return candidates.map(candidate => {
    const {serverId, speed = 1} = candidate;
    const tokensPerMs = options.tokensPerMs * speed;
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
    return {
      serverId,
      prefillTokens,
      copySourceId: copy.sourceId,
      copiedTokens: copy.tokens,
      isPreferred,
      expectedPrefillMs: prefillEndMs,
      expectedEndMs: endMs,
      speed,
      cost: computeCost(candidate, request, prefill, timing, {
        ...options,
        tokensPerMs,
      }),
    };
  });
}

/** Finds the server with the lowest cost; ties go to the preferred server. */
function findCheapest(
  priced: readonly PricedPlacement[],
): PricedPlacement | undefined {
  let best: PricedPlacement | undefined;
  for (const item of priced) {
    if (
      !best ||
      item.cost < best.cost ||
      (item.cost === best.cost && item.isPreferred)
    ) {
      best = item;
    }
  }
  return best;
}

/**
 * Selects the servers where the first event is hardly later for another prefill than
 * on the cheapest one. The unseen load is that of all prompts of the service; without
 * the selection, it would drive prompts from the few servers that cache their part.
 */
function selectNearlyEqual(
  priced: readonly PricedPlacement[],
  {targetMs}: EngineRequest,
  tokensPerMs: number,
): readonly PricedPlacement[] {
  const cheapest = findCheapest(priced);
  return priced.filter(({prefillTokens, speed}) => {
    const repeatedTokens = prefillTokens - (cheapest?.prefillTokens ?? 0);
    const repeatedMs = repeatedTokens / (tokensPerMs * speed);
    return repeatedMs <= targetMs * NEARLY_EQUAL_TIME_RATIO;
  });
}

/** Chooses a server in proportion to what the load of others fills it with. */
function chooseEvenly(
  priced: readonly PricedPlacement[],
  {unseenTokens, position}: EvenLoadOptions,
  tokensPerMs: number,
): PricedPlacement | undefined {
  const shares = computeFill(
    priced.map(({cost, speed}) => ({cost, capacity: speed * tokensPerMs})),
    unseenTokens,
  );
  return priced[chooseByShare(shares, position)];
}

/** Places a generation; returns undefined if there are no candidates. */
export function placeGeneration(
  candidates: readonly EngineCandidate[],
  request: EngineRequest,
  options: PlacementOptions,
): EnginePlacement | undefined {
  const {tokensPerMs, evenLoad} = options;
  const preferredId = findPreferredServer(
    candidates,
    request,
    options.shortPool,
  );
  const prefillWeight = computePrefillWeight(candidates, request, tokensPerMs);
  const priced = listPriced(candidates, request, preferredId, {
    ...options,
    prefillWeight,
  });
  return evenLoad
    ? chooseEvenly(
        selectNearlyEqual(priced, request, tokensPerMs),
        evenLoad,
        tokensPerMs,
      )
    : findCheapest(priced);
}
