/** Token buckets for the rates of customers. */

/** Options of {@link createTokenBucket}. */
export interface TokenBucketOptions {
  /** Refill in tokens per second. */
  tokensPerSecond: number;
  /** Most tokens that the bucket holds. */
  burstTokens: number;
}

/** A bucket that can go into debt, since the length of an answer is unknown. */
export interface TokenBucket {
  /** Takes tokens; returns 0, or the wait in milliseconds when refused. */
  take(tokens: number, now: number): number;
  /** Corrects an earlier estimate; a negative number gives tokens back. */
  settle(tokens: number): void;
  /** Changes the rate and the size from now on. */
  resize(options: TokenBucketOptions, now: number): void;
}

/** Divides a customer's rate among the instances that admit requests. */
export function splitRate(
  rate: TokenBucketOptions,
  instances: number,
): TokenBucketOptions {
  const parts = Math.max(1, instances);
  return {
    tokensPerSecond: rate.tokensPerSecond / parts,
    burstTokens: rate.burstTokens / parts,
  };
}

/** Creates a full bucket. */
export function createTokenBucket(options: TokenBucketOptions): TokenBucket {
  let {tokensPerSecond, burstTokens} = options;
  let level = burstTokens;
  let refilledAt: number | undefined;

  function refill(now: number): void {
    const elapsedMs = now - (refilledAt ?? now);
    refilledAt = now;
    level = Math.min(burstTokens, level + (elapsedMs * tokensPerSecond) / 1000);
  }

  return {
    take: (tokens, now) => {
      refill(now);
      const needed = Math.min(tokens, burstTokens);
      if (level < needed) {
        return Math.ceil(((needed - level) * 1000) / tokensPerSecond);
      }
      level -= tokens;
      return 0;
    },
    settle: tokens => {
      level = Math.min(burstTokens, level - tokens);
    },
    resize: (changed, now) => {
      refill(now);
      ({tokensPerSecond, burstTokens} = changed);
      level = Math.min(level, burstTokens);
    },
  };
}
