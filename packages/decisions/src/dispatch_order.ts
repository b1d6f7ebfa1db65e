/** The order in which the requests of one queue are dispatched. */
import {createFairShare} from './fair_share.js';
import type {FairShare} from './fair_share.js';
import {createMinimumShares} from './minimum_share.js';
import type {QueuedRequest} from './queued_request.js';

/** Options of {@link createDispatchOrder}. */
export interface DispatchOrderOptions {
  /** Weight of a customer; greater than 0. */
  getWeight: (customerId: string) => number;
  /** Least share of dispatched work of a class, between 0 and 1. */
  getMinimumShare: (className: string) => number;
  /** Time from a dispatch to its first token, in milliseconds. */
  getLeadMs: () => number;
}

/** A choice among waiting requests. */
export interface DispatchChoice {
  request: QueuedRequest;
  /** Chosen for the minimum share of its class, ahead of the tier order. */
  isForMinimumShare: boolean;
}

/** Chooses what is dispatched next and remembers what was. */
export interface DispatchOrder {
  /** Chooses the next of the waiting requests. */
  choose(
    waiting: readonly QueuedRequest[],
    now: number,
    isCrowded: boolean,
  ): DispatchChoice | undefined;
  /** Records a dispatch; `waiting` still holds the request. */
  record(request: QueuedRequest, waiting: readonly QueuedRequest[]): void;
  /** Corrects the accounts when the real work is known. */
  settle(request: QueuedRequest, tokens: number): void;
  /** Drops what is kept of a request whose real work is not known. */
  forget(request: QueuedRequest): void;
}

/** Lead times before its target at which a request becomes urgent. */
export const URGENT_LEADS = 3;
/** Earned requests after which a minimum share goes before urgent work. */
const URGENT_SHARE_FACTOR = 4;
/** Lead of a customer, in weighted tokens, within which deadlines decide. */
const FAIRNESS_QUANTUM_TOKENS = 1000;

/** Creates the order of an empty queue. */
export function createDispatchOrder(
  options: DispatchOrderOptions,
): DispatchOrder {
  const {getWeight, getMinimumShare, getLeadMs} = options;
  const shares = createMinimumShares({getShare: getMinimumShare});
  const clocks = new Map<number, FairShare>();
  /** Earnings of its class that a running request has used up. */
  const spentTokens = new Map<string, number>();

  function getClock(tier: number): FairShare {
    const known = clocks.get(tier);
    if (known) {
      return known;
    }
    const created = createFairShare({getWeight});
    clocks.set(tier, created);
    return created;
  }

  /** Requests of the highest tier that will soon miss their target. */
  function isUrgent({tier, deadline}: QueuedRequest, now: number): boolean {
    const slackMs = deadline - now;
    const leadMs = getLeadMs();
    return tier === 1 && slackMs >= 0 && slackMs < URGENT_LEADS * leadMs;
  }

  /** Requests that can still meet their target come first, most urgent first. */
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
      least = Math.min(least, getClock(tier).getStart(customerId));
    }
    return least;
  }

  /** Customers that are not ahead of the others compete by urgency. */
  function chooseFairly(
    requests: readonly QueuedRequest[],
    now: number,
  ): QueuedRequest | undefined {
    const bound = computeLeastStart(requests) + FAIRNESS_QUANTUM_TOKENS;
    let best: QueuedRequest | undefined;
    for (const request of requests) {
      const {tier, customerId} = request;
      if (getClock(tier).getStart(customerId) > bound) {
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
    isCrowded: boolean,
  ): QueuedRequest | undefined {
    const byClass = new Map<string, QueuedRequest[]>();
    for (const request of waiting) {
      const {className} = request;
      if (getMinimumShare(className) <= 0) {
        continue;
      }
      const requests = byClass.get(className) ?? [];
      requests.push(request);
      byClass.set(className, requests);
    }
    const next = new Map<string, QueuedRequest>();
    const needed = new Map<string, number>();
    for (const [className, requests] of byClass) {
      const request = chooseFairly(requests, now)!;
      next.set(className, request);
      needed.set(className, request.estimatedTokens);
    }
    const mustYield =
      isCrowded || waiting.some(request => isUrgent(request, now));
    const due = shares.findDue(needed, mustYield ? URGENT_SHARE_FACTOR : 1);
    return due === undefined ? undefined : next.get(due);
  }

  return {
    choose: (waiting, now, isCrowded) => {
      const due = chooseForMinimumShare(waiting, now, isCrowded);
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
      const floor = computeLeastStart(sameTier);
      getClock(tier).record(customerId, estimatedTokens, floor);
      const classes = new Set(waiting.map(item => item.className));
      const spent = shares.record(className, estimatedTokens, classes);
      if (spent > 0) {
        spentTokens.set(request.attemptId, spent);
      }
    },
    settle: (request, tokens) => {
      const {attemptId, className, customerId, tier} = request;
      const difference = tokens - request.estimatedTokens;
      getClock(tier).settle(customerId, difference);
      const spent = spentTokens.get(attemptId) ?? 0;
      spentTokens.delete(attemptId);
      // A preempted request has not had the work that its class paid for.
      shares.refund(className, Math.min(spent, Math.max(0, -difference)));
    },
    forget: ({attemptId}) => {
      spentTokens.delete(attemptId);
    },
  };
}
