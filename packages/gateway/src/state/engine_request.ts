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
  /** Position in the order of urgency: 0 is the first, 1 the last. */
  urgencyPosition: number;
}

/**
 * Highest ratios of the expected duration to the time until the deadline at
 * which the most and the least urgent answer is still started. Estimates are
 * rough, so the most urgent one is refused only when it clearly misses its
 * deadline; others are refused earlier to leave capacity to it.
 */
const MOST_URGENT_DURATION_RATIO = 1.2;
const LEAST_URGENT_DURATION_RATIO = 0.8;

/** Sums all blocks but the last, which belongs to the request or session alone. */
function countSharedTokens(metadata: GenerationMetadata): number {
  return metadata.blocks
    .slice(0, -1)
    .reduce((sum, block) => sum + block.tokens, 0);
}

/**
 * Computes the highest ratio of expected duration to remaining time at which an
 * answer is started, by its position in the order of urgency.
 */
export function computeMaximumDurationRatio(urgencyPosition: number): number {
  return (
    MOST_URGENT_DURATION_RATIO +
    urgencyPosition * (LEAST_URGENT_DURATION_RATIO - MOST_URGENT_DURATION_RATIO)
  );
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
