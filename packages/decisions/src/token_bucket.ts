/** Token bucket, used to limit customers and requests to cold servers. */

/** Options of {@link createTokenBucket}. */
export interface TokenBucketOptions {
  tokensPerSecond: number;
  /** Capacity of the bucket. */
  burstTokens: number;
}

/**
 * The level can become negative: a request above the capacity may take a full
 * bucket, and the length of an answer is only estimated beforehand. `now` is in
 * milliseconds.
 */
export interface TokenBucket {
  /** Takes tokens and returns 0, or takes none and returns the wait in milliseconds. */
  take(tokens: number, now: number): number;
  /** Takes the difference to an earlier estimate; a negative number is put back. */
  settle(tokens: number): void;
  /** Changes the rate and the capacity from now on. */
  resize(options: TokenBucketOptions, now: number): void;
}

/** Divides a customer's rate evenly among the instances that admit requests. */
export function splitRate(
  rate: TokenBucketOptions,
  instances: number,
): TokenBucketOptions {
  const divisor = Math.max(1, instances);
  return {
    tokensPerSecond: rate.tokensPerSecond / divisor,
    burstTokens: rate.burstTokens / divisor,
  };
}

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
