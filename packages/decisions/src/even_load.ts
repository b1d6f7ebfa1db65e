/**
 * Spreads requests over servers whose load reports are stale. Instances that place
 * by the same report would all choose the server that was least loaded in it.
 *
 * The load that the fleet adds between the report and its replacement is assumed to
 * go to the least loaded servers first, up to a common level (water-filling). A
 * request chooses a server with a probability in proportion to what it is filled
 * with, so that all instances together bring this level about. Fresh reports or
 * little load leave the cheapest server; the longer the report is out of date, the
 * more servers share the load.
 */

/** A server that a request may be sent to. */
export interface FillTarget {
  /** Cost of the server for the request, by the report. */
  cost: number;
  /** Load sent since the report that raises the cost by one. */
  capacity: number;
}

/** Fractional part of the golden ratio: its multiples cover [0, 1) evenly. */
const GOLDEN_STEP = (Math.sqrt(5) - 1) / 2;

/**
 * Distributes load over servers so that the costs of those that get any are equal
 * afterwards, and no other server costs less. Without load the cheapest server,
 * the first of equals, gets a share.
 * @return the load of each server, in the order of `targets`
 */
export function computeFill(
  targets: readonly FillTarget[],
  load: number,
): number[] {
  const order = targets
    .map((_, index) => index)
    .sort((a, b) => targets[a]!.cost - targets[b]!.cost);
  const [cheapest] = order;
  if (cheapest === undefined || !(load > 0)) {
    return targets.map((_, index) => (index === cheapest ? 1 : 0));
  }
  let capacity = 0;
  let costSum = 0;
  let level = Infinity;
  for (const index of order) {
    const target = targets[index]!;
    if (target.cost >= level) {
      break;
    }
    capacity += target.capacity;
    costSum += target.cost * target.capacity;
    level = (load + costSum) / capacity;
  }
  return targets.map(target =>
    Math.max(0, (level - target.cost) * target.capacity),
  );
}

/**
 * Chooses an index with a probability in proportion to its share.
 * @param position Number in [0, 1), evenly distributed over the requests.
 */
export function chooseByShare(
  shares: readonly number[],
  position: number,
): number {
  const total = shares.reduce((sum, share) => sum + share, 0);
  let remaining = position * total;
  let last = -1;
  for (const [index, share] of shares.entries()) {
    if (share > 0) {
      last = index;
      remaining -= share;
      if (remaining < 0) {
        break;
      }
    }
  }
  return last;
}

/** Flow of load since a report, for the estimates of one server. */
export interface LoadFlow {
  /** Load that the fleet has added since the report. */
  unseen: number;
  /** Sum of the running loads of all servers in the report, each times its speed. */
  reported: number;
  speed: number;
}

/** Exponent of the decay of a server's load since the report. */
function computeDecay({unseen, reported, speed}: LoadFlow): number {
  return reported > 0 ? (unseen * speed) / reported : 0;
}

/**
 * Estimates the running load of others that has ended since their report, from 0
 * to 1. In a steady state as much ends as begins; fast servers end more of what
 * they have.
 */
export function estimateEndedRatio(flow: LoadFlow): number {
  return 1 - Math.exp(-computeDecay(flow));
}

/**
 * Estimates the load to send evenly since the report for each unit of it that is
 * left now. Fast servers also end more of this load; without the ratio, slow
 * servers are filled above the level.
 */
export function estimateSentRatio(flow: LoadFlow): number {
  const decay = computeDecay(flow);
  return decay > 0 ? decay / -Math.expm1(-decay) : 1;
}

/** The report by which an instance places, and the instances that do the same. */
export interface SpreadPlace {
  /** Rank of the instance among all that send requests, from 0. */
  rank: number;
  instances: number;
  /** Age of the loads in the report, in milliseconds. */
  ageMs: number;
  /** Local time at which the report arrived; the same for all requests by it. */
  reportedAt: number;
}

/** What the choice of a server by a stale report needs to know. */
export interface SpreadChoice {
  /** Load that the other instances have added since the report. */
  unseen: number;
  /** Number in [0, 1), evenly distributed over the requests of all instances. */
  position: number;
}

/** Spreads the requests of one instance of one kind, such as those of a service. */
export interface LoadSpread {
  /** Records a request of this instance that was sent. */
  record(load: number, now: number): void;
  /** Plans the choice for the next request. */
  next(place: SpreadPlace, now: number): SpreadChoice;
}

/** Time constant of the average load of this instance. */
const RATE_WINDOW_MS = 2000;

/**
 * Creates the state of one kind of requests. The load of the others is estimated by
 * the own, so that it needs no report: an instance with more requests than others
 * overestimates it, and spreads its many requests more.
 *
 * Positions begin again with each report: the first requests of all instances by
 * one report then cover [0, 1) evenly together, as do the second ones.
 */
export function createLoadSpread(): LoadSpread {
  let recentLoad = 0;
  let decayedAt = -Infinity;
  let count = 0;
  let lastReportedAt: number | undefined;

  function expireLoad(now: number): void {
    const elapsed = Math.max(0, now - decayedAt);
    recentLoad *= Math.exp(-elapsed / RATE_WINDOW_MS);
    decayedAt = now;
  }

  return {
    record: (load, now) => {
      expireLoad(now);
      recentLoad += load;
    },
    next: ({rank, instances, ageMs, reportedAt}, now) => {
      expireLoad(now);
      count = reportedAt === lastReportedAt ? count + 1 : 0;
      lastReportedAt = reportedAt;
      return {
        unseen: (recentLoad / RATE_WINDOW_MS) * (instances - 1) * ageMs,
        position: (rank / Math.max(1, instances) + count * GOLDEN_STEP) % 1,
      };
    },
  };
}
