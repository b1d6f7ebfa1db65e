/**
 * Limits the backlog that less urgent requests may build up at the servers of a service
 * after more urgent ones lacked capacity. Without it, they fill the servers again as soon
 * as a shortage ends, and the next urgent request finds the same backlog.
 */

/** All times are in milliseconds. */
export interface RankHeadroom {
  /**
   * Computes the fraction of the usual backlog that a request may meet.
   * @param isHeldBack Whether a shortage of more urgent requests is fresh.
   */
  computeFactor(
    serviceName: string,
    urgencyPosition: number,
    isHeldBack: boolean,
    now: number,
  ): number;
}

/** Time in which the fraction falls to a third during a shortage. */
const FALL_MS = 500;
/**
 * Time in which it rises from 0 to 1 afterwards. 15 s refused large prompts for long
 * after short bursts, while servers had room.
 */
const RISE_MS = 5000;
/** Below it, servers could run out of work. */
const MINIMUM_FACTOR = 0.15;
/** Longest time between two calls for which the latest state of the shortage counts. */
const MAXIMUM_STEP_MS = 100;

interface RankState {
  factor: number;
  updatedAt: number;
}

export function createRankHeadroom(): RankHeadroom {
  const ranks = new Map<string, RankState>();

  return {
    computeFactor: (serviceName, urgencyPosition, isHeldBack, now) => {
      const key = `${serviceName} ${urgencyPosition}`;
      const state = ranks.get(key);
      if (!state) {
        if (isHeldBack) {
          ranks.set(key, {factor: 1, updatedAt: now});
        }
        return 1;
      }
      const elapsedMs = now - state.updatedAt;
      state.updatedAt = now;
      state.factor = isHeldBack
        ? Math.max(
            MINIMUM_FACTOR,
            state.factor *
              Math.exp(-Math.min(MAXIMUM_STEP_MS, elapsedMs) / FALL_MS),
          )
        : Math.min(1, state.factor + elapsedMs / RISE_MS);
      if (state.factor === 1 && !isHeldBack) {
        ranks.delete(key);
      }
      return state.factor;
    },
  };
}
