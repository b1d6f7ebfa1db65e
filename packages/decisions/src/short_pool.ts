/**
 * Sets servers apart for short prompts. Reading a long prompt stretches the
 * pauses of every answer on its server, so short ones get servers of their own
 * in proportion to the work that they bring.
 */
import {rankByRendezvous} from '@buckthornbeam/shared';

/** Options of {@link createShortPool}. */
export interface ShortPoolOptions {
  /** Least part of the servers; covers the time before any work was seen. */
  leastPart?: number;
  /** Largest part of the servers. */
  mostPart?: number;
}

/** The pool, as one instance computes it. */
export interface ShortPool {
  /** Takes work as it is placed, in milliseconds of a server's time. */
  recordWork(isShort: boolean, workMs: number, now: number): void;
  /** Chooses the servers of the pool; empty where there are too few servers. */
  chooseServers(serverIds: readonly string[], now: number): Set<string>;
}

/** Half-life of the work seen: follows a burst within some seconds. */
const HALF_LIFE_MS = 5000;
/** Fewer servers than this are not divided. */
const MINIMUM_SERVERS = 4;
/** The size changes when the work asks for so much of a server more or less. */
const HYSTERESIS = 0.7;
const POOL_KEY = 'short-prompts';

/** Creates a pool that has seen no work. */
export function createShortPool(options: ShortPoolOptions = {}): ShortPool {
  const {leastPart = 0.15, mostPart = 0.4} = options;
  const work = {short: 0, long: 0, updatedAt: 0};
  let size: number | undefined;

  function decay(now: number): void {
    const factor = 0.5 ** (Math.max(0, now - work.updatedAt) / HALF_LIFE_MS);
    work.short *= factor;
    work.long *= factor;
    work.updatedAt = now;
  }

  function computeSize(count: number, now: number): number {
    decay(now);
    const total = work.short + work.long;
    const part = total > 0 ? work.short / total : leastPart;
    const wanted = count * Math.min(mostPart, Math.max(leastPart, part));
    if (size === undefined || Math.abs(wanted - size) > HYSTERESIS) {
      size = Math.max(1, Math.round(wanted));
    }
    return Math.min(size, count - 1);
  }

  return {
    recordWork: (isShort, workMs, now) => {
      decay(now);
      work[isShort ? 'short' : 'long'] += workMs;
    },
    chooseServers: (serverIds, now) => {
      if (serverIds.length < MINIMUM_SERVERS) {
        return new Set();
      }
      const ranked = rankByRendezvous(POOL_KEY, serverIds);
      return new Set(ranked.slice(0, computeSize(serverIds.length, now)));
    },
  };
}
