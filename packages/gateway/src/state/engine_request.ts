/** Builds the placement request of a generation from its metadata and limits. */
import type {EngineRequest} from '@buckthornbeam/decisions';
import type {GenerationMetadata} from '../model.js';

/** Time limits and priority of a request, from its route, caller and customer. */
export interface PlacementLimits {
  /** Target for the time to the first event, in milliseconds. */
  targetMs: number;
  /** Target for the longest pause between events, in milliseconds. */
  pauseMs: number | undefined;
  /** Time until the deadline of the whole answer, in milliseconds. */
  remainingMs: number;
  /** 0 is the highest. */
  priority: number;
}

/**
 * Highest ratio of the expected duration to the time until the deadline at
 * which an answer is still started, by priority from the highest. Estimates are
 * rough, so the highest priority is refused only when it clearly misses its
 * deadline; lower priorities are refused earlier to leave capacity to it.
 */
const MAXIMUM_DURATION_RATIOS = [1.2, 1, 0.8];

/** Sums all blocks but the last, which belongs to the request or session alone. */
function countSharedTokens(metadata: GenerationMetadata): number {
  return metadata.blocks
    .slice(0, -1)
    .reduce((sum, block) => sum + block.tokens, 0);
}

/**
 * Returns the highest ratio of expected duration to remaining time at which an
 * answer of this priority is started.
 */
export function getMaximumDurationRatio(priority: number): number {
  const rank = Math.min(
    Math.max(0, priority),
    MAXIMUM_DURATION_RATIOS.length - 1,
  );
  return MAXIMUM_DURATION_RATIOS[Math.floor(rank)]!;
}

export function buildEngineRequest(
  metadata: GenerationMetadata,
  {targetMs, pauseMs, remainingMs}: PlacementLimits,
): EngineRequest {
  return {
    targetMs,
    pauseMs,
    remainingMs,
    promptTokens: metadata.promptTokens,
    sharedTokens: countSharedTokens(metadata),
    sharedKey: metadata.blocks
      .slice(0, -1)
      .map(block => block.id)
      .join('/'),
    outputTokens: metadata.expectedOutputTokens ?? metadata.maximumOutputTokens,
  };
}
