/** Times and token counts of a chat request, for logs and metrics. */
import type {ClassTargets} from '@buckthornbeam/config';
import type {AnswerChunk} from './chat_request.js';

/** Measurements of one answer; times are relative to the request's arrival. */
export interface RequestRecord {
  /** Undefined if no chunk arrived. */
  firstTokenMs: number | undefined;
  /** Longest time between two consecutive chunks. */
  longestGapMs: number;
  tokens: number;
  totalMs: number;
}

/** Whether each target was met; targets that do not apply are absent. */
export type MetTargets = Partial<Record<keyof ClassTargets, boolean>>;

export interface RequestRecorder {
  observe(chunk: AnswerChunk, now: number): void;
  finish(now: number): RequestRecord;
}

/** Creates a recorder for a request that arrived at a monotonic time, in ms. */
export function createRequestRecorder(startedAt: number): RequestRecorder {
  let firstTokenMs: number | undefined;
  let longestGapMs = 0;
  let tokens = 0;
  let lastChunkAt = startedAt;
  return {
    observe: (chunk, now) => {
      if (firstTokenMs === undefined) {
        firstTokenMs = now - startedAt;
      } else {
        longestGapMs = Math.max(longestGapMs, now - lastChunkAt);
      }
      lastChunkAt = now;
      tokens += chunk.tokens;
    },
    finish: now => ({
      firstTokenMs,
      longestGapMs,
      tokens,
      totalMs: now - startedAt,
    }),
  };
}

/** Compares a record with the targets of its class; see {@link MetTargets}. */
export function checkTargets(
  record: RequestRecord,
  targets: ClassTargets,
  isComplete: boolean,
): MetTargets {
  const {firstTokenMs, longestGapMs, totalMs} = record;
  return {
    firstTokenMs:
      firstTokenMs !== undefined && firstTokenMs <= targets.firstTokenMs,
    ...(firstTokenMs === undefined
      ? {}
      : {betweenTokensMs: longestGapMs <= targets.betweenTokensMs}),
    completionMs: isComplete && totalMs <= targets.completionMs,
  };
}
