/**
 * Divides the request rate that a server states among the instances, without
 * messages. What all of them send together must fit in the bound of the server in
 * any window, and in the rate itself on average.
 */
import {rankByRendezvous} from '@buckthornbeam/shared';

/** The part of a rate that one instance may use. */
export interface RateShare {
  tokensPerSecond: number;
  /** Tokens that accumulate at most. */
  burstTokens: number;
  /** Whether tokens that are not used in time are lost, and none are saved up. */
  isTrial?: boolean;
}

/** Options of {@link computeRateShare}. */
export interface RateShareOptions {
  /** Identifies the server whose rate is divided. */
  key: string;
  /** Rate of all instances together. */
  requestsPerSecond: number;
  selfId: string;
  /** Ids of the instances, including this one. */
  instances: readonly string[];
}

/** Tokens of a share at a time, in milliseconds. */
export interface ShareLevel {
  tokens: number;
  at: number;
}

/** What a server accepts in any window: its rate times the overage, and the slack. */
const WINDOW_S = 4;
const WINDOW_OVERAGE = 1.5;
const WINDOW_SLACK_REQUESTS = 5;
/** Ratio of the rate that is divided; the remainder covers views that differ. */
const USED_RATIO = 0.95;
/**
 * Ratio of the rate that all instances without a share use for trials, since only an
 * answer can tell them that the limit has ended.
 */
const TRIAL_RATIO = 0.05;
/** Time for which a trial may be used. */
const TRIAL_WINDOW_S = 2;
/** Time for which an instance may save up its share, if that is over one request. */
const BURST_S = 0.5;
/** Requests that an instance may save up instead, where the bound allows it. */
const FAVOURED_BURST_TOKENS = 2;
/**
 * Holders beyond the intended ones that must fit in the bound, as a ratio: views of
 * the instances differ while some come and go.
 */
const EXCESS_HOLDER_RATIO = 0.125;
/**
 * Lowest rate that is used: without requests, no answer could say that the limit
 * has ended. The slack of the bound covers it.
 */
const MINIMUM_REQUESTS_PER_SECOND = 0.05;
const MS_PER_SECOND = 1000;
/** Keeps rounding from turning a whole number into the one below. */
const EPSILON = 1e-9;

/** An instance that may not send. */
export const NO_SHARE: RateShare = {tokensPerSecond: 0, burstTokens: 0};

function isWithinBound(
  requestsPerSecond: number,
  holders: number,
  {tokensPerSecond, burstTokens}: RateShare,
): boolean {
  const perHolder = Math.floor(
    burstTokens + tokensPerSecond * WINDOW_S + EPSILON,
  );
  // The overage covers the rate of the others; what they saved up comes on top.
  const perExcessHolder = Math.min(perHolder, Math.ceil(burstTokens));
  const excess = Math.ceil(holders * EXCESS_HOLDER_RATIO);
  return (
    holders * perHolder + excess * perExcessHolder <=
    requestsPerSecond * WINDOW_S * WINDOW_OVERAGE + WINDOW_SLACK_REQUESTS
  );
}

function computeSmallestShare(
  requestsPerSecond: number,
  holders: number,
): RateShare {
  const tokensPerSecond =
    (Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond) * USED_RATIO) /
    holders;
  return {
    tokensPerSecond,
    burstTokens: Math.max(1, tokensPerSecond * BURST_S),
  };
}

/** Computes the share of one of the holders. */
export function computeHolderShare(
  requestsPerSecond: number,
  holders: number,
): RateShare {
  const smallest = computeSmallestShare(requestsPerSecond, holders);
  const favoured = {
    ...smallest,
    burstTokens: Math.max(FAVOURED_BURST_TOKENS, smallest.burstTokens),
  };
  return isWithinBound(requestsPerSecond, holders, favoured)
    ? favoured
    : smallest;
}

/** Whether all holders may use up their shares in the same window. */
function canHoldAll(requestsPerSecond: number, holders: number): boolean {
  const share = computeSmallestShare(requestsPerSecond, holders);
  return isWithinBound(requestsPerSecond, holders, share);
}

/**
 * Counts the instances that hold a share: as many as may all use one up in the same
 * window.
 */
export function countShareHolders(
  requestsPerSecond: number,
  instances: number,
): number {
  let holders = Math.max(1, instances);
  while (holders > 1 && !canHoldAll(requestsPerSecond, holders)) {
    holders -= 1;
  }
  return holders;
}

/** Computes the share of one of the instances that hold none. */
function computeTrialShare(
  requestsPerSecond: number,
  instances: number,
): RateShare {
  const tokensPerSecond =
    (Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond) * TRIAL_RATIO) /
    instances;
  return {
    tokensPerSecond,
    burstTokens: 1 + tokensPerSecond * TRIAL_WINDOW_S,
    isTrial: true,
  };
}

export function computeRateShare(options: RateShareOptions): RateShare {
  const {key, requestsPerSecond, selfId, instances} = options;
  const holders = countShareHolders(requestsPerSecond, instances.length);
  const isHolder =
    holders >= instances.length ||
    rankByRendezvous(key, instances).slice(0, holders).includes(selfId);
  return isHolder
    ? computeHolderShare(requestsPerSecond, holders)
    : computeTrialShare(requestsPerSecond, instances.length - holders);
}

/** Adds the tokens for the time that passed. */
export function refillShare(
  level: ShareLevel,
  {tokensPerSecond, burstTokens, isTrial = false}: RateShare,
  now: number,
): ShareLevel {
  const elapsedMs = Math.max(0, now - level.at);
  const tokens = level.tokens + (elapsedMs * tokensPerSecond) / MS_PER_SECOND;
  return {
    tokens: isTrial ? tokens % burstTokens : Math.min(burstTokens, tokens),
    at: Math.max(now, level.at),
  };
}

/**
 * Computes the time until a request may be sent after those ahead of it, in
 * milliseconds.
 */
export function computeShareWait(
  level: ShareLevel,
  share: RateShare,
  now: number,
  requestsAhead = 0,
): number {
  const needed = 1 + requestsAhead - refillShare(level, share, now).tokens;
  if (needed <= EPSILON) {
    return 0;
  }
  // Trials are too rare for a request to wait for one.
  return share.tokensPerSecond > 0 && !share.isTrial
    ? (needed * MS_PER_SECOND) / share.tokensPerSecond
    : Infinity;
}
