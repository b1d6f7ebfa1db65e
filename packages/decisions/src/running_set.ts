/** The running requests of one backend server. */
import type {QueuedRequest} from './queued_request.js';

/** Requests of this tier are never preempted. */
const HIGHEST_TIER = 1;

interface RunningRequest {
  request: QueuedRequest;
  /** Runs for the minimum share of its class; must not be preempted. */
  isProtected: boolean;
  /** Preempted, but still running until its end is reported. */
  isStopping: boolean;
}

/** The running requests, in dispatch order. */
export interface RunningSet {
  add(request: QueuedRequest, isProtected: boolean): void;
  remove(attemptId: string): QueuedRequest | undefined;
  count(): number;
  /** Sums the estimated tokens of all running requests. */
  countTokens(): number;
  countStopping(): number;
  /**
   * Counts the requests that are never preempted: highest tier or protected.
   */
  countFixed(): number;
  /** Sums the estimated tokens of the requests that are stopping. */
  countStoppingTokens(): number;
  /**
   * Marks the running request with the lowest priority as stopping, if that is
   * lower than the given tier. Among equals it takes the last dispatched, which
   * loses the least work. Protected requests are not preempted.
   */
  preemptLowest(tier: number): QueuedRequest | undefined;
  /**
   * Returns the largest tier that {@link preemptLowest} can stop; 0 if none.
   */
  getLowestTier(): number;
}

export function createRunningSet(): RunningSet {
  const items = new Map<string, RunningRequest>();
  let tokens = 0;
  let stopping = 0;
  let stoppingTokens = 0;

  function findLowest(tier: number): RunningRequest | undefined {
    let lowest: RunningRequest | undefined;
    for (const item of items.values()) {
      const isPreemptible = !item.isStopping && !item.isProtected;
      if (!isPreemptible || item.request.tier <= tier) {
        continue;
      }
      if (!lowest || item.request.tier >= lowest.request.tier) {
        lowest = item;
      }
    }
    return lowest;
  }

  return {
    add: (request, isProtected) => {
      tokens += request.estimatedTokens;
      items.set(request.attemptId, {
        request,
        isProtected,
        isStopping: false,
      });
    },
    remove: attemptId => {
      const item = items.get(attemptId);
      if (!item) {
        return undefined;
      }
      items.delete(attemptId);
      tokens -= item.request.estimatedTokens;
      if (item.isStopping) {
        stopping -= 1;
        stoppingTokens -= item.request.estimatedTokens;
      }
      return item.request;
    },
    count: () => items.size,
    countTokens: () => tokens,
    countStopping: () => stopping,
    countFixed: () =>
      [...items.values()].filter(
        ({request, isProtected}) =>
          isProtected || request.tier === HIGHEST_TIER,
      ).length,
    countStoppingTokens: () => stoppingTokens,
    preemptLowest: tier => {
      const item = findLowest(tier);
      if (item) {
        item.isStopping = true;
        stopping += 1;
        stoppingTokens += item.request.estimatedTokens;
      }
      return item?.request;
    },
    getLowestTier: () => findLowest(0)?.request.tier ?? 0,
  };
}
