/** A simulated server that asks for less load for a time. */
import {LimitStatementType} from '@buckthornbeam/decisions';
import type {ServerStatement} from '@buckthornbeam/decisions';

/** What a server asks for. */
export interface ServerNeed {
  /** It refuses all requests, and asks for a pause of this time. */
  pauseMs?: number;
  /** It states this rate, and refuses what goes far beyond. */
  requestsPerSecond?: number;
}

export interface ServerNeedState {
  /** Whether a request that arrives now is accepted; it then counts. */
  accept(now: number): boolean;
  buildStatement(isRefusal: boolean): Omit<ServerStatement, 'isLeaving'>;
}

const WINDOW_MS = 4000;
const MS_PER_SECOND = 1000;
/** Requests that a server accepts in the window, as a ratio to its rate and beyond. */
const OVERAGE_RATIO = 1.5;
const SLACK_REQUESTS = 5;

export function createServerNeed(need: ServerNeed): ServerNeedState {
  const {pauseMs, requestsPerSecond = Infinity} = need;
  const allowed =
    (OVERAGE_RATIO * requestsPerSecond * WINDOW_MS) / MS_PER_SECOND +
    SLACK_REQUESTS;
  let acceptedAt: number[] = [];

  return {
    accept: now => {
      acceptedAt = acceptedAt.filter(at => at > now - WINDOW_MS);
      if (pauseMs !== undefined || acceptedAt.length + 1 > allowed) {
        return false;
      }
      acceptedAt.push(now);
      return true;
    },
    buildStatement: isRefusal => ({
      ...(Number.isFinite(requestsPerSecond)
        ? {limit: {type: LimitStatementType.RATE, requestsPerSecond}}
        : {}),
      ...(isRefusal && pauseMs !== undefined ? {pauseMs} : {}),
    }),
  };
}
