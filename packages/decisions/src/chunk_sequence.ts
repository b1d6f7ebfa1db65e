/** Orders the chunks of one attempt by their token offsets. */

/** What to do with a received chunk. */
export const ChunkVerdict = {
  /** It continues the answer: pass it to the caller. */
  DELIVER: 'deliver',
  /** It was delivered before. */
  SKIP: 'skip',
  /** A chunk before it is missing. */
  GAP: 'gap',
  /** The engine restarted the answer instead of resuming it. */
  RESTARTED: 'restarted',
} as const;
export type ChunkVerdict = (typeof ChunkVerdict)[keyof typeof ChunkVerdict];

/** Options of {@link createChunkSequence}. */
export interface ChunkSequenceOptions {
  /** Offset after the last delivered token. */
  offset: number;
  /** Whether regenerated tokens are equal to the delivered ones. */
  isDeterministic: boolean;
}

export interface ChunkSequence {
  accept(offset: number, tokens: number): ChunkVerdict;
  /** Returns the offset after the last delivered token. */
  getOffset(): number;
}

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
