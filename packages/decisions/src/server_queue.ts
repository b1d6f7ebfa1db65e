/**
 * The queue of one backend server. Only the owner of the server dispatches to
 * it, so the count of running requests is exact and never exceeds the limit.
 */
import type {ErrorCode} from '@buckthornbeam/shared';
import {URGENT_LEAD_TIMES, createDispatchOrder} from './dispatch_order.js';
import type {QueuedRequest} from './queued_request.js';
import {createRunningSet} from './running_set.js';

/** Messages to a queue. */
export type QueueMessage =
  | {type: 'enqueue'; request: QueuedRequest}
  /** `tokens` is the actual work, if known. */
  | {type: 'finish'; attemptId: string; tokens?: number}
  | {type: 'cancel'; attemptId: string}
  | {type: 'set_limit'; limit: number}
  /** Sets the time from a dispatch to its first token, in milliseconds. */
  | {type: 'set_lead'; leadMs: number}
  /** Sent periodically: a waiting request may have become urgent. */
  | {type: 'tick'}
  /** Refuses every waiting request with `code`; running requests finish. */
  | {type: 'drain'; code: ErrorCode};

/** Actions that the owner has to carry out after a message. */
export type QueueAction =
  | {type: 'dispatch'; request: QueuedRequest}
  | {type: 'refuse'; request: QueuedRequest; code: ErrorCode}
  /**
   * Stop a running request; it occupies its slot until its `finish` message.
   */
  | {type: 'preempt'; request: QueuedRequest};

/** Options of {@link createServerQueue}. */
export interface ServerQueueOptions {
  /** Maximum number of concurrent requests. */
  limit: number;
  /**
   * Estimated tokens that may run at once, per request of the limit; unlimited
   * by default.
   */
  tokensPerRequest?: number;
  /** Maximum number of waiting requests. */
  maximumQueued?: number;
  /**
   * Maximum estimated tokens of waiting requests; one request may always wait.
   */
  maximumQueuedTokens?: number;
  /** Initial time from a dispatch to its first token, in milliseconds. */
  leadMs?: number;
  /** Returns the weight of a customer; 1 for all by default. */
  getWeight?: (customerId: string) => number;
  /** Returns the minimum share of a class, 0 to 1; 0 by default. */
  getMinimumShare?: (className: string) => number;
}

/** Queue of one server. */
export interface ServerQueue {
  /** Applies a message; `now` is monotonic, in milliseconds. */
  step(message: QueueMessage, now: number): QueueAction[];
  readonly limit: number;
  countRunning(): number;
  countQueued(): number;
  /** Sums the estimated tokens of waiting requests. */
  countQueuedTokens(): number;
  /**
   * Returns the largest tier number (lowest priority) of the waiting and the
   * preemptible running requests; 0 if none.
   */
  getLowestTier(): number;
}

const DEFAULT_MAXIMUM_QUEUED = 256;
const DEFAULT_LEAD_MS = 150;
/**
 * Ratio of the limit that minimum shares leave to preemptible requests, so that
 * a burst of the highest tier can preempt them.
 */
const RESERVE_RATIO = 0.5;

/**
 * Shedding order: lowest priority first, then requests past their deadline,
 * then the latest deadline.
 */
function compareForShedding(
  a: QueuedRequest,
  b: QueuedRequest,
  now: number,
): number {
  const isLateA = Number(a.deadline < now);
  const isLateB = Number(b.deadline < now);
  return b.tier - a.tier || isLateB - isLateA || b.deadline - a.deadline;
}

export function createServerQueue(options: ServerQueueOptions): ServerQueue {
  const {
    tokensPerRequest = Infinity,
    maximumQueued = DEFAULT_MAXIMUM_QUEUED,
    maximumQueuedTokens = Infinity,
    getWeight = () => 1,
    getMinimumShare = () => 0,
  } = options;
  let {limit, leadMs = DEFAULT_LEAD_MS} = options;
  let queuedTokens = 0;
  const waiting: QueuedRequest[] = [];
  const running = createRunningSet();
  const order = createDispatchOrder({
    getWeight,
    getMinimumShare,
    getLeadMs: () => leadMs,
  });

  /** Whether the request fits; one above the token limit may only run alone. */
  function hasRoom(request: QueuedRequest): boolean {
    if (running.count() >= limit) {
      return false;
    }
    const tokens = running.countTokens() + request.estimatedTokens;
    return running.count() === 0 || tokens <= tokensPerRequest * limit;
  }

  function removeWaiting(request: QueuedRequest): void {
    waiting.splice(waiting.indexOf(request), 1);
    queuedTokens -= request.estimatedTokens;
  }

  /** Whether one more non-preemptible request would use the reserve. */
  function isReserveReached(): boolean {
    return running.countFixed() + 1 > limit - Math.floor(limit * RESERVE_RATIO);
  }

  function dispatchWaiting(now: number): QueueAction[] {
    const actions: QueueAction[] = [];
    while (running.count() < limit) {
      const choice = order.choose(waiting, now, isReserveReached());
      if (!choice || !hasRoom(choice.request)) {
        break;
      }
      const {request, isForMinimumShare} = choice;
      order.record(request, waiting);
      removeWaiting(request);
      running.add(request, isForMinimumShare);
      actions.push({type: 'dispatch', request});
    }
    return actions;
  }

  /**
   * Waiting requests close to their deadline that could preempt, highest tier
   * first.
   */
  function listUrgent(now: number): QueuedRequest[] {
    const lowestTier = running.getLowestTier();
    return waiting
      .filter(
        ({tier, deadline}) =>
          tier < lowestTier && deadline - now < URGENT_LEAD_TIMES * leadMs,
      )
      .sort((a, b) => a.tier - b.tier);
  }

  /** Preempts one lower-tier request for each urgent request. */
  function preemptForUrgent(now: number): QueueAction[] {
    const actions: QueueAction[] = [];
    // After a decrease of the limit, the slots above it are not reused.
    const excess = Math.max(0, running.count() - limit);
    let freedSlots = running.countStopping() - excess;
    if (limit === 0 || freedSlots < 0) {
      return actions;
    }
    for (const request of listUrgent(now)) {
      if (freedSlots > 0) {
        freedSlots -= 1;
        continue;
      }
      const victim = running.preemptLowest(request.tier);
      if (victim) {
        actions.push({type: 'preempt', request: victim});
      }
    }
    return actions;
  }

  /**
   * Whether the queue is over its bounds, counting what stopping requests will
   * free.
   */
  function isOverfull(): boolean {
    const maximumCount = maximumQueued + running.countStopping();
    const maximumTokens = maximumQueuedTokens + running.countStoppingTokens();
    const isOverTokens = queuedTokens > maximumTokens && waiting.length > 1;
    return waiting.length > maximumCount || isOverTokens;
  }

  /**
   * Requests that may be shed: all but the last of a class with a minimum
   * share.
   */
  function listReplaceable(): QueuedRequest[] {
    const counts = new Map<string, number>();
    for (const {className} of waiting) {
      counts.set(className, (counts.get(className) ?? 0) + 1);
    }
    return waiting.filter(
      ({className}) =>
        counts.get(className)! > 1 || getMinimumShare(className) === 0,
    );
  }

  /** Finds the request to shed first; see {@link compareForShedding}. */
  function findLeastImportant(now: number): QueuedRequest | undefined {
    let worst: QueuedRequest | undefined;
    for (const request of listReplaceable()) {
      if (!worst || compareForShedding(request, worst, now) < 0) {
        worst = request;
      }
    }
    return worst;
  }

  /**
   * Preempts running requests of lower tiers before it refuses a waiting one.
   */
  function shedOverflow(now: number): QueueAction[] {
    const actions: QueueAction[] = [];
    while (isOverfull()) {
      const request = findLeastImportant(now);
      if (!request) {
        break;
      }
      const victim = running.preemptLowest(request.tier);
      if (victim) {
        actions.push({type: 'preempt', request: victim});
        continue;
      }
      removeWaiting(request);
      actions.push({type: 'refuse', request, code: 'overloaded'});
    }
    return actions;
  }

  function advance(now: number): QueueAction[] {
    return [
      ...dispatchWaiting(now),
      ...shedOverflow(now),
      ...preemptForUrgent(now),
    ];
  }

  function finishRunning(attemptId: string, tokens?: number): void {
    const request = running.remove(attemptId);
    if (!request) {
      return;
    }
    if (tokens === undefined) {
      order.forget(request);
    } else {
      order.settle(request, tokens);
    }
  }

  function cancelRequest(attemptId: string): void {
    const request = waiting.find(item => item.attemptId === attemptId);
    if (request) {
      removeWaiting(request);
    }
    finishRunning(attemptId);
  }

  const handlers: {
    [T in QueueMessage['type']]: (
      message: Extract<QueueMessage, {type: T}>,
      now: number,
    ) => QueueAction[];
  } = {
    enqueue: ({request}, now) => {
      waiting.push(request);
      queuedTokens += request.estimatedTokens;
      return advance(now);
    },
    finish: ({attemptId, tokens}, now) => {
      finishRunning(attemptId, tokens);
      return advance(now);
    },
    cancel: ({attemptId}, now) => {
      cancelRequest(attemptId);
      return advance(now);
    },
    set_limit: (message, now) => {
      limit = message.limit;
      return advance(now);
    },
    set_lead: (message, now) => {
      leadMs = message.leadMs;
      return advance(now);
    },
    tick: (_message, now) => advance(now),
    drain: ({code}) => {
      limit = 0;
      queuedTokens = 0;
      return waiting
        .splice(0)
        .map(request => ({type: 'refuse', request, code}));
    },
  };

  return {
    step: (message, now) => handlers[message.type](message as never, now),
    get limit() {
      return limit;
    },
    countRunning: () => running.count(),
    countQueued: () => waiting.length,
    countQueuedTokens: () => queuedTokens,
    getLowestTier: () =>
      waiting.reduce(
        (lowest, request) => Math.max(lowest, request.tier),
        running.getLowestTier(),
      ),
  };
}
