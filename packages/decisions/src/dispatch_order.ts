/**
 * Dispatch order of one queue: classes below their minimum share first, then by
 * tier, within a tier by fairness between customers, then by deadline.
 */
import {createFairShare} from './fair_share.js';
import type {FairShare} from './fair_share.js';
import {createMinimumShares} from './minimum_share.js';
import type {QueuedRequest} from './queued_request.js';

/** Options of {@link createDispatchOrder}. */
export interface DispatchOrderOptions {
  /** Returns the weight of a customer; greater than 0. */
  getWeight: (customerId: string) => number;
  /** Returns the minimum share of a class in the dispatched tokens, 0 to 1. */
  getMinimumShare: (className: string) => number;
  /** Returns the time from a dispatch to its first token, in milliseconds. */
  getLeadMs: () => number;
}

/** The request to dispatch next. */
export interface DispatchChoice {
  request: QueuedRequest;
  /**
   * Whether it was chosen for the minimum share of its class, regardless of
   * tier.
   */
  isForMinimumShare: boolean;
}

/** Chooses the next request and keeps the accounts of dispatched work. */
export interface DispatchOrder {
  /**
   * Chooses the next of the waiting requests. If `isReserveReached`, minimum
   * shares are served later, as they are while urgent requests wait.
   */
  choose(
    waiting: readonly QueuedRequest[],
    now: number,
    isReserveReached: boolean,
  ): DispatchChoice | undefined;
  /** Records a dispatch; `waiting` has to include the request. */
  record(request: QueuedRequest, waiting: readonly QueuedRequest[]): void;
  /** Corrects the accounts once the actual work in tokens is known. */
  settle(request: QueuedRequest, tokens: number): void;
  /**
   * Removes the record of a request that ended without its actual work known.
   */
  forget(request: QueuedRequest): void;
}

/**
 * A request is urgent if its deadline is less than this many lead times away.
 */
export const URGENT_LEAD_TIMES = 3;
/**
 * Requests that a class must have earned before it goes ahead of urgent
 * requests.
 */
const URGENT_EARNED_REQUESTS = 4;
/**
 * Customers whose start tags differ by no more than this, in weighted tokens,
 * compete by deadline.
 */
const FAIRNESS_QUANTUM_TOKENS = 1000;

export function createDispatchOrder(
  options: DispatchOrderOptions,
): DispatchOrder {
  const {getWeight, getMinimumShare, getLeadMs} = options;
  const minimumShares = createMinimumShares({getShare: getMinimumShare});
  const fairShares = new Map<number, FairShare>();
  /** Minimum share credit debited for each running request, by attempt id. */
  const debitedTokens = new Map<string, number>();

  function getFairShare(tier: number): FairShare {
    const existing = fairShares.get(tier);
    if (existing) {
      return existing;
    }
    const created = createFairShare({getWeight});
    fairShares.set(tier, created);
    return created;
  }

  /** Whether a request of the highest tier is about to miss its deadline. */
  function isUrgent({tier, deadline}: QueuedRequest, now: number): boolean {
    const slackMs = deadline - now;
    const leadMs = getLeadMs();
    return tier === 1 && slackMs >= 0 && slackMs < URGENT_LEAD_TIMES * leadMs;
  }

  /** Earliest deadline first; requests that can no longer meet it come last. */
  function compareUrgency(
    a: QueuedRequest,
    b: QueuedRequest,
    now: number,
  ): number {
    const leadMs = getLeadMs();
    const isLateA = a.deadline - now < leadMs;
    const isLateB = b.deadline - now < leadMs;
    return Number(isLateA) - Number(isLateB) || a.deadline - b.deadline;
  }

  function computeLeastStart(requests: readonly QueuedRequest[]): number {
    let least = Infinity;
    for (const {tier, customerId} of requests) {
      least = Math.min(least, getFairShare(tier).getStart(customerId));
    }
    return least;
  }

  /**
   * Chooses by deadline among the customers that are not ahead of the others.
   */
  function chooseFairly(
    requests: readonly QueuedRequest[],
    now: number,
  ): QueuedRequest | undefined {
    const bound = computeLeastStart(requests) + FAIRNESS_QUANTUM_TOKENS;
    let best: QueuedRequest | undefined;
    for (const request of requests) {
      const {tier, customerId} = request;
      if (getFairShare(tier).getStart(customerId) > bound) {
        continue;
      }
      if (best === undefined || compareUrgency(request, best, now) < 0) {
        best = request;
      }
    }
    return best;
  }

  function chooseForMinimumShare(
    waiting: readonly QueuedRequest[],
    now: number,
    isReserveReached: boolean,
  ): QueuedRequest | undefined {
    const requestsByClass = new Map<string, QueuedRequest[]>();
    for (const request of waiting) {
      const {className} = request;
      if (getMinimumShare(className) <= 0) {
        continue;
      }
      const requests = requestsByClass.get(className) ?? [];
      requests.push(request);
      requestsByClass.set(className, requests);
    }
    const nextByClass = new Map<string, QueuedRequest>();
    const nextTokens = new Map<string, number>();
    for (const [className, requests] of requestsByClass) {
      const request = chooseFairly(requests, now)!;
      nextByClass.set(className, request);
      nextTokens.set(className, request.estimatedTokens);
    }
    const mustYield =
      isReserveReached || waiting.some(request => isUrgent(request, now));
    const dueClass = minimumShares.findDue(
      nextTokens,
      mustYield ? URGENT_EARNED_REQUESTS : 1,
    );
    return dueClass === undefined ? undefined : nextByClass.get(dueClass);
  }

  return {
    choose: (waiting, now, isReserveReached) => {
      const due = chooseForMinimumShare(waiting, now, isReserveReached);
      if (due) {
        return {request: due, isForMinimumShare: true};
      }
      const tier = waiting.reduce(
        (least, request) => Math.min(least, request.tier),
        Infinity,
      );
      const request = chooseFairly(
        waiting.filter(item => item.tier === tier),
        now,
      );
      return request && {request, isForMinimumShare: false};
    },
    record: (request, waiting) => {
      const {className, customerId, tier, estimatedTokens} = request;
      const sameTier = waiting.filter(item => item.tier === tier);
      const leastStart = computeLeastStart(sameTier);
      getFairShare(tier).record(customerId, estimatedTokens, leastStart);
      const classes = new Set(waiting.map(item => item.className));
      const debited = minimumShares.record(className, estimatedTokens, classes);
      if (debited > 0) {
        debitedTokens.set(request.attemptId, debited);
      }
    },
    settle: (request, tokens) => {
      const {attemptId, className, customerId, tier} = request;
      const difference = tokens - request.estimatedTokens;
      getFairShare(tier).settle(customerId, difference);
      const debited = debitedTokens.get(attemptId) ?? 0;
      debitedTokens.delete(attemptId);
      // A preempted request did less work than was debited from its class.
      minimumShares.refund(
        className,
        Math.min(debited, Math.max(0, -difference)),
      );
    },
    forget: ({attemptId}) => {
      debitedTokens.delete(attemptId);
    },
  };
}
