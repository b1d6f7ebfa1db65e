/** The requests that run on one backend server. */
import type {QueuedRequest} from './queued_request.js';

/** No request is urgent enough to stop this tier. */
const HIGHEST_TIER = 1;

interface RunningRequest {
  request: QueuedRequest;
  /** Runs for the minimum share of its class, and is not to be stopped. */
  isProtected: boolean;
  /** Was told to stop and has not finished yet. */
  isStopping: boolean;
}

/** The running requests in the order of their dispatch. */
export interface RunningSet {
  add(request: QueuedRequest, isProtected: boolean): void;
  remove(attemptId: string): QueuedRequest | undefined;
  count(): number;
  /** Estimated work of all running requests, in tokens. */
  countTokens(): number;
  countStopping(): number;
  /** Requests that no other is urgent enough to stop. */
  countFixed(): number;
  /** Estimated work of the requests that are being stopped, in tokens. */
  countStoppingTokens(): number;
  /**
   * Marks the request of the lowest tier below the given one as stopping; the
   * youngest, since it has the least work behind it. Protected work is
   * left alone.
   */
  stopLowest(tier: number): QueuedRequest | undefined;
  /** Lowest priority that {@link stopLowest} could stop; 0 if none. */
  getLowestTier(): number;
}

/** Creates an empty set. */
export function createRunningSet(): RunningSet {
  const items = new Map<string, RunningRequest>();
  let tokens = 0;
  let stopping = 0;
  let stoppingTokens = 0;

  function findLowest(tier: number): RunningRequest | undefined {
    let lowest: RunningRequest | undefined;
    for (const item of items.values()) {
      const canStop = !item.isStopping && !item.isProtected;
      if (!canStop || item.request.tier <= tier) {
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
    stopLowest: tier => {
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
