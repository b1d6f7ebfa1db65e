/** The order of chunks within one attempt, by their offsets. */

/** What has to be done with a chunk that arrived. */
export const ChunkVerdict = {
  /** It is the next part of the answer. */
  DELIVER: 'deliver',
  /** The caller has it already. */
  SKIP: 'skip',
  /** Something before it is missing. */
  GAP: 'gap',
  /** The engine began anew instead of resuming. */
  RESTARTED: 'restarted',
} as const;
export type ChunkVerdict = (typeof ChunkVerdict)[keyof typeof ChunkVerdict];

/** Options of {@link createChunkSequence}. */
export interface ChunkSequenceOptions {
  /** Offset behind the last token that was delivered. */
  offset: number;
  /** Whether a part that is generated again equals the delivered one. */
  isDeterministic: boolean;
}

/** Follows the chunks of one attempt. */
export interface ChunkSequence {
  accept(offset: number, tokens: number): ChunkVerdict;
  /** Offset behind the last token that was delivered. */
  getOffset(): number;
}

/** Creates the sequence of an attempt without chunks. */
export function createChunkSequence(
  options: ChunkSequenceOptions,
): ChunkSequence {
  let expected = options.offset;
  let hasChunks = false;

  return {
    accept: (offset, tokens) => {
      const isFirst = !hasChunks;
      hasChunks = true;
      if (offset === expected) {
        expected += tokens;
        return ChunkVerdict.DELIVER;
      }
      if (offset + tokens > expected) {
        return ChunkVerdict.GAP;
      }
      return isFirst && !options.isDeterministic
        ? ChunkVerdict.RESTARTED
        : ChunkVerdict.SKIP;
    },
    getOffset: () => expected,
  };
}
