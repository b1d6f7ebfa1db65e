/**
 * Decides by the request rate that a server states in its answers. The rate is that
 * of all instances together; this instance keeps to its share of it.
 */
import {hashToUint32} from '@buckthornbeam/shared';
import {
  NO_SHARE,
  computeHolderShare,
  computeRateShare,
  computeShareWait,
  refillShare,
} from './shared_rate.js';
import type {RateShare, ShareLevel} from './shared_rate.js';

export const LimitStatementType = {
  /** The answer states no rate. */
  NONE: 'none',
  RATE: 'rate',
  /** The answer states something that is not a rate. */
  UNREADABLE: 'unreadable',
} as const;

/** What one answer states about the rate of its server. */
export type LimitStatement =
  | {type: typeof LimitStatementType.NONE}
  | {type: typeof LimitStatementType.UNREADABLE}
  | {type: typeof LimitStatementType.RATE; requestsPerSecond: number};

/** Times of the answer, in milliseconds; its head was written between the two. */
export interface LimitAnswerTimes {
  sentAt: number;
  headAt: number;
}

interface LimitSource extends LimitAnswerTimes {
  /** Instances that passed it on; 0 for an own answer. */
  hops: number;
}

/** What an instance passes on. */
export interface LimitNews extends LimitSource {
  /** Undefined if the limit has ended. */
  requestsPerSecond: number | undefined;
}

/** The instances that divide the rate of a server. */
export interface LimitSharers {
  /** Id of the server. */
  key: string;
  selfId: string;
  /** Ids of all instances, including this one. */
  instances: readonly string[];
}

/** What is kept for one life of a server. */
export interface LimitState {
  /** Rate of all instances; the last one stated, after the end. */
  requestsPerSecond: number;
  /** When the server stopped to state a rate; undefined while it does. */
  endedAt: number | undefined;
  /** When an answer last confirmed the end. */
  confirmedAt: number;
  /** Times of the answers that the state is taken from. */
  sentAt: number;
  headAt: number;
  /** Instances that passed the newest of them on; 0 for an own answer. */
  hops: number;
  /** Part of a request with which a share begins. */
  phase: number;
  share: RateShare;
  /** What the share was computed from. */
  sharedRate: number;
  sharedAmong: readonly string[];
  level: ShareLevel;
}

/** Time after the end of a limit over which answers must confirm the end. */
const RETURN_MS = 2000;
/** Time for which what was stated is passed on. */
const NEWS_MS = 5000;
/** Time that news may take; their ages leave it out. */
const NEWS_DELAY_MS = 1000;
/** Time for which an end is kept, so that older news do not undo it. */
const END_MEMORY_MS = 15_000;
/** Time in which the number of requests without an answer may double meanwhile. */
const DOUBLING_MS = 500;
/** Requests that an answer without a limit allows meanwhile. */
const REQUESTS_PER_CONFIRMATION = 2;

/**
 * Computes the share after the end of a limit. Only answers raise it, so that a limit
 * that begins again is heard before many requests are sent.
 */
function computeReturnShare(
  {requestsPerSecond, endedAt = 0, confirmedAt}: LimitState,
  instances: number,
): RateShare {
  const confirmedMs = Math.min(RETURN_MS, confirmedAt - endedAt);
  return {
    ...computeHolderShare(requestsPerSecond, instances),
    burstTokens: 2 ** Math.floor(confirmedMs / DOUBLING_MS),
  };
}

/**
 * Computes the part of a request that a new share has. It differs among the instances,
 * so that they do not send at the same times.
 */
function computePhase({key, selfId}: LimitSharers): number {
  return hashToUint32(`phase\n${key}\n${selfId}`) / 2 ** 32;
}

/**
 * Whether the limit has ended for long enough. Instances that heard so from others use
 * the server again at different times.
 */
export function isLimitOver(state: LimitState): boolean {
  const {endedAt, confirmedAt, hops, phase} = state;
  const returnMs = hops > 0 ? RETURN_MS * (1 + phase) : RETURN_MS;
  return endedAt !== undefined && confirmedAt - endedAt >= returnMs;
}

/** Whether nothing of the state matters any more. */
export function isLimitForgotten(state: LimitState, now: number): boolean {
  const {endedAt = Infinity} = state;
  return isLimitOver(state) && now - endedAt > END_MEMORY_MS;
}

/**
 * Computes the share again. The tokens until now are those of the share before, which
 * are none if this instance had no share.
 */
export function updateLimitShare(
  state: LimitState,
  sharers: LimitSharers,
  now: number,
): LimitState {
  const {instances} = sharers;
  const {requestsPerSecond} = state;
  const level = refillShare(state.level, state.share, now);
  if (state.endedAt !== undefined) {
    const share = computeReturnShare(state, instances.length);
    const phase = computePhase(sharers);
    return {...state, level, share, phase, sharedAmong: []};
  }
  if (
    requestsPerSecond === state.sharedRate &&
    instances === state.sharedAmong
  ) {
    return {...state, level};
  }
  const isNew = state.sharedAmong.length === 0;
  const phase = computePhase(sharers);
  const share = computeRateShare({...sharers, requestsPerSecond});
  const isLost = share.isTrial === true && state.share.isTrial !== true;
  // What was saved up of a share is lost with it: the others have used it up by now.
  const tokens = isLost ? Math.min(phase, level.tokens) : level.tokens;
  return {
    ...state,
    phase,
    level: {tokens: isNew ? phase : tokens, at: now},
    share,
    sharedRate: requestsPerSecond,
    sharedAmong: instances,
  };
}

type LimitUpdate<Type extends LimitStatement['type']> = (
  state: LimitState | undefined,
  statement: Extract<LimitStatement, {type: Type}>,
  answer: LimitSource,
) => LimitState | undefined;

/** Of two answers, the one whose request was sent after the other's head is newer. */
function isNewer(answer: LimitAnswerTimes, state: LimitAnswerTimes): boolean {
  return answer.sentAt >= state.headAt;
}

function mergeSources(answer: LimitSource, state: LimitSource): LimitSource {
  return {
    sentAt: Math.max(answer.sentAt, state.sentAt),
    headAt: Math.max(answer.headAt, state.headAt),
    hops: answer.headAt >= state.headAt ? answer.hops : state.hops,
  };
}

const updates: {[Type in LimitStatement['type']]: LimitUpdate<Type>} = {
  // Only an answer that is certainly newer ends a limit.
  [LimitStatementType.NONE]: (state, _statement, answer) => {
    if (!state || !isNewer(answer, state)) {
      return state;
    }
    const {endedAt = answer.headAt} = state;
    const {at, tokens} = state.level;
    const allowed = answer.hops === 0 ? REQUESTS_PER_CONFIRMATION : 0;
    return {
      ...state,
      ...mergeSources(answer, state),
      endedAt,
      confirmedAt: answer.headAt,
      level: {at, tokens: tokens + allowed},
    };
  },
  // Of answers that may have been written in any order, the lower rate counts.
  [LimitStatementType.RATE]: (state, {requestsPerSecond}, answer) => {
    if (!state) {
      return {
        requestsPerSecond,
        endedAt: undefined,
        confirmedAt: -Infinity,
        ...answer,
        phase: 0,
        share: NO_SHARE,
        sharedRate: 0,
        sharedAmong: [],
        level: {tokens: 0, at: answer.headAt},
      };
    }
    if (isNewer(state, answer)) {
      return state;
    }
    const isCertain = isNewer(answer, state) || state.endedAt !== undefined;
    if (!isCertain && requestsPerSecond > state.requestsPerSecond) {
      // The state keeps its times, so that answers that overlap can't go on for good.
      return state;
    }
    return {
      ...state,
      ...mergeSources(answer, state),
      endedAt: undefined,
      requestsPerSecond,
    };
  },
  [LimitStatementType.UNREADABLE]: state => state,
};

/**
 * Applies an answer; undefined if there is no limit. The share of this instance
 * follows with the next {@link updateLimitShare}.
 */
export function updateLimit(
  state: LimitState | undefined,
  statement: LimitStatement,
  {sentAt, headAt}: LimitAnswerTimes,
  hops = 0,
): LimitState | undefined {
  const update = updates[statement.type] as LimitUpdate<LimitStatement['type']>;
  return update(state, statement, {sentAt, headAt, hops});
}

/** Describes the state to other instances; undefined if it is too old for that. */
export function describeLimitNews(
  state: LimitState,
  maximumHops: number,
  now: number,
): LimitNews | undefined {
  const {requestsPerSecond, endedAt, sentAt, headAt, hops} = state;
  if (hops > maximumHops || now - headAt > NEWS_MS) {
    return undefined;
  }
  return {
    requestsPerSecond: endedAt === undefined ? requestsPerSecond : undefined,
    sentAt,
    headAt,
    hops,
  };
}

/** Applies what another instance passed on; undefined if there is no limit. */
export function acceptLimitNews(
  state: LimitState | undefined,
  {requestsPerSecond, sentAt, headAt, hops}: LimitNews,
): LimitState | undefined {
  const statement: LimitStatement =
    requestsPerSecond === undefined
      ? {type: LimitStatementType.NONE}
      : {type: LimitStatementType.RATE, requestsPerSecond};
  const times = {sentAt: sentAt - NEWS_DELAY_MS, headAt};
  return updateLimit(state, statement, times, hops + 1);
}

/**
 * Computes the time until a request may be sent after those ahead of it, in
 * milliseconds.
 */
export function computeLimitWait(
  state: LimitState,
  now: number,
  requestsAhead = 0,
): number {
  return isLimitOver(state)
    ? 0
    : computeShareWait(state.level, state.share, now, requestsAhead);
}

/** Uses up one request of the share. */
export function recordLimitedSend(state: LimitState, now: number): LimitState {
  const level = refillShare(state.level, state.share, now);
  return {...state, level: {...level, tokens: level.tokens - 1}};
}
