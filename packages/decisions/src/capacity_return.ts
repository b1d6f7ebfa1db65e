/**
 * Plans when refused requests return, from the rate at which capacity of a service
 * becomes free to their rank.
 */

/** A refused request. */
export interface RefusedRequest {
  serviceName: string;
  /** Position in the order of urgency: 0 is the first, 1 the last. */
  urgencyPosition: number;
  /** Longest delay that the client honours, in milliseconds. */
  longestMs: number;
  now: number;
}

export interface CapacityReturns {
  /** Records a request that asks for a server. */
  recordAsked(serviceName: string, urgencyPosition: number, now: number): void;
  /** Records a request that is sent. */
  recordStart(serviceName: string, urgencyPosition: number, now: number): void;
  /**
   * Assigns a time to the return of a refused request and returns the delay in
   * milliseconds; undefined without a request sent lately.
   */
  planReturn(request: RefusedRequest): number | undefined;
}

export interface CapacityReturnOptions {
  /** Returns a number in [0, 1). */
  random?: () => number;
}

/** Time in which the weight of a start falls to a third. */
const RATE_WINDOW_MS = 2000;
/** Part of the spare rate that returning requests use; the rate changes meanwhile. */
const RETURN_RATIO = 0.5;
/** Lower bound of the spare rate, as a ratio of the requests that are sent. */
const MINIMUM_SPARE_RATIO = 0.05;
/** Lower bound of a delay: capacity is missing for a few rounds of gossip. */
const MINIMUM_DELAY_MS = 250;
/** Ratio of the delay by which a return is spread. */
const JITTER_RATIO = 0.25;

interface RankRate {
  /** Decaying counts of requests. */
  asked: number;
  starts: number;
  updatedAt: number;
  /** Time to which the return of the last refused request was assigned. */
  plannedUntil: number;
}

export function createCapacityReturns({
  random = Math.random,
}: CapacityReturnOptions = {}): CapacityReturns {
  /** Rates by service and position. */
  const services = new Map<string, Map<number, RankRate>>();

  function getRank(
    serviceName: string,
    urgencyPosition: number,
    now: number,
  ): RankRate {
    const ranks = services.get(serviceName) ?? new Map<number, RankRate>();
    services.set(serviceName, ranks);
    const rank = ranks.get(urgencyPosition) ?? {
      asked: 0,
      starts: 0,
      updatedAt: now,
      plannedUntil: 0,
    };
    ranks.set(urgencyPosition, rank);
    const weight = Math.exp((rank.updatedAt - now) / RATE_WINDOW_MS);
    rank.asked *= weight;
    rank.starts *= weight;
    rank.updatedAt = now;
    return rank;
  }

  /**
   * Computes the rate of requests that is left to those that return, per millisecond:
   * a rank can use what it and the less urgent ones have used, except for its new ones.
   */
  function computeSpareRate(
    serviceName: string,
    urgencyPosition: number,
    now: number,
  ): number {
    const positions = [...(services.get(serviceName)?.keys() ?? [])];
    let starts = 0;
    let spare = 0;
    for (const position of positions) {
      const rank = getRank(serviceName, position, now);
      if (position >= urgencyPosition) {
        starts += rank.starts;
        spare += rank.starts - (position === urgencyPosition ? rank.asked : 0);
      }
    }
    return Math.max(starts * MINIMUM_SPARE_RATIO, spare) / RATE_WINDOW_MS;
  }

  return {
    recordAsked: (serviceName, urgencyPosition, now) => {
      getRank(serviceName, urgencyPosition, now).asked += 1;
    },
    recordStart: (serviceName, urgencyPosition, now) => {
      getRank(serviceName, urgencyPosition, now).starts += 1;
    },
    planReturn: ({serviceName, urgencyPosition, longestMs, now}) => {
      const rate = computeSpareRate(serviceName, urgencyPosition, now);
      if (rate === 0) {
        return undefined;
      }
      const rank = getRank(serviceName, urgencyPosition, now);
      const earliestAt = Math.max(rank.plannedUntil, now + MINIMUM_DELAY_MS);
      const returnAt = earliestAt + 1 / (rate * RETURN_RATIO);
      // Beyond the longest delay, further requests would only return together later.
      rank.plannedUntil = Math.min(returnAt, now + longestMs);
      const spread = 1 + JITTER_RATIO * random();
      const delayMs = (returnAt - now) * spread;
      return delayMs <= longestMs
        ? delayMs
        : longestMs * (1 - JITTER_RATIO * random());
    },
  };
}
