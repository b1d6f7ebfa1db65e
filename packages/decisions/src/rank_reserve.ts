/**
 * Reserves a part of a service's capacity for requests that are held back by more
 * urgent ones, so that no rank is starved.
 */

/** All times are in milliseconds. */
export interface RankReserve {
  /** Records a request that asks for a server for the first time. */
  recordAsked(serviceName: string, urgencyPosition: number, now: number): void;
  /** Records a request that is sent. */
  recordStart(serviceName: string, urgencyPosition: number, now: number): void;
  /** Whether a request of the rank may be sent although more urgent ones wait. */
  canPass(serviceName: string, urgencyPosition: number): boolean;
}

export interface RankReserveOptions {
  /** Returns a number in [0, 1). */
  random?: () => number;
}

/**
 * Requests of each rank that pass, as a ratio of the share of all requests that are
 * served. Every class has to be served a quarter as often as all; more than that is
 * taken from the more urgent ones.
 */
const RESERVED_RATIO = 0.27;
/**
 * Lower bound of the share that counts as served. An instance that has only requests that
 * are held back serves none, and would let none pass.
 */
const MINIMUM_SERVED_RATIO = 0.25;
/** Requests that a rank can save up; more would pass in a burst. */
const MAXIMUM_CREDIT = 2;
/** Time in which the weight of a recorded request halves. */
const HALF_LIFE_MS = 2000;

interface ServiceCounts {
  asked: number;
  started: number;
  updatedAt: number;
  /** Requests that may pass, by position. */
  credits: Map<number, number>;
}

export function createRankReserve({
  random = Math.random,
}: RankReserveOptions = {}): RankReserve {
  const services = new Map<string, ServiceCounts>();

  function getCounts(serviceName: string, now: number): ServiceCounts {
    let counts = services.get(serviceName);
    if (!counts) {
      counts = {asked: 0, started: 0, updatedAt: now, credits: new Map()};
      services.set(serviceName, counts);
    }
    const weight = 0.5 ** ((now - counts.updatedAt) / HALF_LIFE_MS);
    counts.asked *= weight;
    counts.started *= weight;
    counts.updatedAt = now;
    return counts;
  }

  function addCredit(
    {credits}: ServiceCounts,
    urgencyPosition: number,
    credit: number,
  ): void {
    // Without a random beginning, the first requests of all instances pass together.
    const present = credits.get(urgencyPosition) ?? random();
    credits.set(
      urgencyPosition,
      Math.min(MAXIMUM_CREDIT, Math.max(0, present + credit)),
    );
  }

  return {
    recordAsked: (serviceName, urgencyPosition, now) => {
      const counts = getCounts(serviceName, now);
      counts.asked += 1;
      const servedRatio = Math.min(
        1,
        Math.max(MINIMUM_SERVED_RATIO, counts.started / counts.asked),
      );
      addCredit(counts, urgencyPosition, RESERVED_RATIO * servedRatio);
    },
    recordStart: (serviceName, urgencyPosition, now) => {
      const counts = getCounts(serviceName, now);
      counts.started += 1;
      addCredit(counts, urgencyPosition, -1);
    },
    canPass: (serviceName, urgencyPosition) =>
      (services.get(serviceName)?.credits.get(urgencyPosition) ?? 0) >= 1,
  };
}
