/** A generation as placement sees it, with what its route and time ask. */
import type {EngineRequest} from '@buckthornbeam/decisions';
import type {GenerationFacts} from '../model.js';

/** What a request's route and time ask of its placement. */
export interface PlacementLimits {
  /** Time within which the first event is on time, in milliseconds. */
  targetMs: number;
  /** Longest pause between events that is on time, in milliseconds. */
  pauseMs: number | undefined;
  /** Time left until the answer must be whole, in milliseconds. */
  leftMs: number;
  /** 0 is the highest. */
  priority: number;
}

/**
 * An answer expected to take so many times the time left is not begun. The
 * estimate is rough, so only clear cases count for the most urgent requests;
 * the less urgent ones make room first.
 */
const MISSED_PARTS = [1.2, 1, 0.8];

function countSharedTokens(facts: GenerationFacts): number {
  return facts.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}

/** Gets the part of the time left beyond which an answer is not begun. */
export function getMissedPart(priority: number): number {
  const rank = Math.min(Math.max(0, priority), MISSED_PARTS.length - 1);
  return MISSED_PARTS[Math.floor(rank)]!;
}

/** Builds the request that is placed. */
export function buildEngineRequest(
  facts: GenerationFacts,
  {targetMs, pauseMs, leftMs}: PlacementLimits,
): EngineRequest {
  return {
    targetMs,
    pauseMs,
    leftMs,
    promptTokens: facts.promptTokens,
    sharedTokens: countSharedTokens(facts),
    sharedKey: facts.parts
      .slice(0, -1)
      .map(part => part.id)
      .join('/'),
    outputTokens: facts.expectedOutputTokens ?? facts.maximumOutputTokens,
  };
}
