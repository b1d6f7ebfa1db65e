/**
 * The queue of one backend server. Its owner is the only dispatcher, so the
 * count of running requests is exact and never passes the limit.
 */
import type {ErrorCode} from '@buckthornbeam/shared';
import {URGENT_LEADS, createDispatchOrder} from './dispatch_order.js';
import type {QueuedRequest} from './queued_request.js';
import {createRunningSet} from './running_set.js';

/** Messages to a queue. */
export type QueueMessage =
  | {type: 'enqueue'; request: QueuedRequest}
  /** `tokens` is the real work, where it is known. */
  | {type: 'finish'; attemptId: string; tokens?: number}
  | {type: 'cancel'; attemptId: string}
  | {type: 'set_limit'; limit: number}
  /** How long the server takes to the first token, in milliseconds. */
  | {type: 'set_lead'; leadMs: number}
  /** Time has passed: an urgent request may need room. */
  | {type: 'tick'}
  /** Gives every waiting request back; running ones finish. */
  | {type: 'drain'; code: ErrorCode};

/** What the owner has to do after a message. */
export type QueueAction =
  | {type: 'dispatch'; request: QueuedRequest}
  | {type: 'refuse'; request: QueuedRequest; code: ErrorCode}
  /** Stop a running request; it holds its place until it has finished. */
  | {type: 'preempt'; request: QueuedRequest};

/** Options of {@link createServerQueue}. */
export interface ServerQueueOptions {
  /** Requests that may run at once. */
  limit: number;
  /** Tokens of running work for each request of the limit. */
  tokensPerRequest?: number;
  /** Requests that may wait. */
  maximumQueued?: number;
  /** Tokens of work that may wait; one request may always wait. */
  maximumQueuedTokens?: number;
  /** Time to the first token until it is known, in milliseconds. */
  leadMs?: number;
  /** Weight of a customer; 1 for all by default. */
  getWeight?: (customerId: string) => number;
  /** Least share of a class; none by default. */
  getMinimumShare?: (className: string) => number;
}

/** The state of one server's queue. */
export interface ServerQueue {
  /** Applies a message at a monotonic time in milliseconds. */
  step(message: QueueMessage, now: number): QueueAction[];
  readonly limit: number;
  countRunning(): number;
  countQueued(): number;
  /** Work that waits, in tokens. */
  countQueuedTokens(): number;
  /** Lowest priority that waits or runs and is not being stopped; 0 if none. */
  getLowestTier(): number;
}

const DEFAULT_MAXIMUM_QUEUED = 256;
const DEFAULT_LEAD_MS = 150;
/**
 * Part of a limit that minimum shares leave to work that could be stopped, so
 * that a burst of the highest tier finds room; from the overload test.
 */
const RESERVED_PART = 0.5;

/** Orders by tier, then late requests before others, the latest first. */
function compareImportance(
  a: QueuedRequest,
  b: QueuedRequest,
  now: number,
): number {
  const isLateA = Number(a.deadline < now);
  const isLateB = Number(b.deadline < now);
  return b.tier - a.tier || isLateB - isLateA || b.deadline - a.deadline;
}

/** Creates an empty queue. */
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

  /** A request larger than the token limit runs alone. */
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

  /** Whether one more request that is not to be stopped leaves too little room. */
  function isCrowded(): boolean {
    return running.countFixed() + 1 > limit - Math.floor(limit * RESERVED_PART);
  }

  function dispatchWaiting(now: number): QueueAction[] {
    const actions: QueueAction[] = [];
    while (running.count() < limit) {
      const choice = order.choose(waiting, now, isCrowded());
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

  /** Waiting requests that would miss their target, the highest tier first. */
  function listUrgent(now: number): QueuedRequest[] {
    const lowest = running.getLowestTier();
    return waiting
      .filter(
        ({tier, deadline}) =>
          tier < lowest && deadline - now < URGENT_LEADS * leadMs,
      )
      .sort((a, b) => a.tier - b.tier);
  }

  /** Stops lower tiers for urgent requests, one for each. */
  function preemptForUrgent(now: number): QueueAction[] {
    const actions: QueueAction[] = [];
    // After a fall of the limit, places that come free are not given out.
    const excess = Math.max(0, running.count() - limit);
    let pending = running.countStopping() - excess;
    if (limit === 0 || pending < 0) {
      return actions;
    }
    for (const request of listUrgent(now)) {
      if (pending > 0) {
        pending -= 1;
        continue;
      }
      const victim = running.stopLowest(request.tier);
      if (victim) {
        actions.push({type: 'preempt', request: victim});
      }
    }
    return actions;
  }

  /** Places and tokens of requests that are being stopped will come free. */
  function isOverfull(): boolean {
    const maximumCount = maximumQueued + running.countStopping();
    const maximumTokens = maximumQueuedTokens + running.countStoppingTokens();
    const isOverTokens = queuedTokens > maximumTokens && waiting.length > 1;
    return waiting.length > maximumCount || isOverTokens;
  }

  /** The last waiting request of a class with a minimum share stays. */
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

  /** The lowest tier; within it the one that is least likely to be in time. */
  function findLeastImportant(now: number): QueuedRequest | undefined {
    let worst: QueuedRequest | undefined;
    for (const request of listReplaceable()) {
      if (!worst || compareImportance(request, worst, now) < 0) {
        worst = request;
      }
    }
    return worst;
  }

  /** Stops a lower tier before it refuses a higher one. */
  function shedOverflow(now: number): QueueAction[] {
    const actions: QueueAction[] = [];
    while (isOverfull()) {
      const request = findLeastImportant(now);
      if (!request) {
        break;
      }
      const victim = running.stopLowest(request.tier);
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
