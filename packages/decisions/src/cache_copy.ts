/** Plans copies of cached prompt prefixes from one server to another. */
import type {EngineCandidate, EngineRequest} from './engine_candidate.js';

/** A prefill of fewer tokens takes less time than setting up a copy. */
const MINIMUM_COPIED_TOKENS = 512;

/** Copy of cached tokens that precedes the prefill; without a source, `tokens` is 0. */
export interface CacheCopy {
  sourceId: string | undefined;
  tokens: number;
}

const NO_COPY: CacheCopy = {sourceId: undefined, tokens: 0};

/** Finds the server that has prefilled the longest prefix of the prompt. */
export function findCopySource(
  candidates: readonly EngineCandidate[],
): EngineCandidate | undefined {
  let best: EngineCandidate | undefined;
  for (const candidate of candidates) {
    if (!best || candidate.prefilledTokens > best.prefilledTokens) {
      best = candidate;
    }
  }
  return best;
}

/** Plans a copy of the tokens of the shared prefix that a candidate lacks. */
export function planCopy(
  candidate: EngineCandidate,
  request: EngineRequest,
  source: EngineCandidate | undefined,
): CacheCopy {
  if (!source || source === candidate) {
    return NO_COPY;
  }
  const cachedTokens = Math.min(candidate.cachedTokens, request.sharedTokens);
  const tokens =
    Math.min(source.prefilledTokens, request.sharedTokens) - cachedTokens;
  return tokens >= MINIMUM_COPIED_TOKENS
    ? {sourceId: source.serverId, tokens}
    : NO_COPY;
}
