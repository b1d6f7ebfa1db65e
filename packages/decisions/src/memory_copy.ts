/** Which shared parts of a prompt a server copies from another one. */
import type {EngineCandidate, EngineRequest} from './engine_candidate.js';

/** Fewer tokens are read faster than a copy is set up. */
const LEAST_COPIED_TOKENS = 512;

/** What a server copies from another before it reads. */
export interface MemoryCopy {
  sourceId: string | undefined;
  tokens: number;
}

const NO_COPY: MemoryCopy = {sourceId: undefined, tokens: 0};

/** Finds the server that has read most of the shared parts. */
export function findCopySource(
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
export function planCopy(
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
