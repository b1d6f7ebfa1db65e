/** What is kept of one chat request for its log line and the metrics. */
import type {ClassTargets} from '@buckthornbeam/config';
import type {AnswerChunk} from './chat_request.js';

/** Times and tokens of one answer, in milliseconds since the request came. */
export interface RequestRecord {
  firstTokenMs: number | undefined;
  /** Longest time between two chunks that followed each other. */
  longestGapMs: number;
  tokens: number;
  totalMs: number;
}

/** Whether each target was met; one that does not apply is left out. */
export type MetTargets = Partial<Record<keyof ClassTargets, boolean>>;

/** Builds the record of one answer. */
export interface RequestRecorder {
  observe(chunk: AnswerChunk, now: number): void;
  finish(now: number): RequestRecord;
}

/** Creates a recorder for a request that came at the given time. */
export function createRequestRecorder(startedAt: number): RequestRecorder {
  let firstTokenMs: number | undefined;
  let longestGapMs = 0;
  let tokens = 0;
  let lastAt = startedAt;
  return {
    observe: (chunk, now) => {
      if (firstTokenMs === undefined) {
        firstTokenMs = now - startedAt;
      } else {
        longestGapMs = Math.max(longestGapMs, now - lastAt);
      }
      lastAt = now;
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

/** Compares a record with the targets of its class. */
export function checkTargets(
  record: RequestRecord,
  targets: ClassTargets,
  isWhole: boolean,
): MetTargets {
  const {firstTokenMs, longestGapMs, totalMs} = record;
  return {
    firstTokenMs:
      firstTokenMs !== undefined && firstTokenMs <= targets.firstTokenMs,
    ...(firstTokenMs === undefined
      ? {}
      : {betweenTokensMs: longestGapMs <= targets.betweenTokensMs}),
    completionMs: isWhole && totalMs <= targets.completionMs,
  };
}
