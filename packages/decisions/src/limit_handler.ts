/** Decides by the request rate that a server states. */
import {
  LimitStatementType,
  acceptLimitNews,
  computeLimitWait,
  describeLimitNews,
  isLimitForgotten,
  isLimitOver,
  recordLimitedSend,
  updateLimit,
  updateLimitShare,
} from './stated_limit.js';
import type {LimitState, LimitStatement} from './stated_limit.js';
import type {StatementHandler} from './statement_handler.js';

const NO_LIMIT: LimitStatement = {type: LimitStatementType.NONE};

/** Requests of all instances are limited to a rate, of which each has a share. */
export const limitHandler: StatementHandler<LimitState> = {
  update: (state, {limit = NO_LIMIT}, answer) =>
    updateLimit(state, limit, answer),
  advance: (state, {id}, sharers, now) =>
    isLimitForgotten(state, now)
      ? undefined
      : updateLimitShare(state, {key: id, ...sharers}, now),
  getValue: ({requestsPerSecond, endedAt}) =>
    endedAt === undefined ? requestsPerSecond : undefined,
  getShare: ({share}) => share.tokensPerSecond,
  computeWait: (state, _context, now, requestsAhead) =>
    computeLimitWait(state, now, requestsAhead),
  recordSend: (state, _context, now) => recordLimitedSend(state, now),
  isFinal: () => false,
  isBinding: state => !isLimitOver(state),
  describeNews: describeLimitNews,
  acceptNews: acceptLimitNews,
};
