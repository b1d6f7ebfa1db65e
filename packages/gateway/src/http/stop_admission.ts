/** Accepts requests during a stop as long as they can be expected to end in time. */
import {
  canEndBeforeStop,
  createLongestDuration,
} from '@buckthornbeam/decisions';
import type {LongestDuration} from '@buckthornbeam/decisions';
import {RouteKind} from '../model.js';
import type {Route} from '../model.js';

/** Times of the clock, in milliseconds. */
export interface AdmissionTimes {
  now: number;
  deadlineAt: number;
  requestsEndAt: number;
  /** Time for which requests of the route are open, the longest. */
  longestOpenMs: number;
}

export interface StopAdmission {
  /**
   * Records how long a complete answer of the route took, or one that had not ended
   * at its deadline.
   */
  observe(route: Route, durationMs: number): void;
  /** Whether the request can be expected to end before `requestsEndAt`. */
  canAccept(route: Route, times: AdmissionTimes): boolean;
}

/**
 * Whether durations that were observed decide, rather than the deadline. An unsafe
 * request that is cut may have taken effect, so that it is accepted only if it can't be
 * cut. Most streams end long before their deadline.
 */
const GOES_BY_DURATION: Readonly<Record<RouteKind, boolean>> = {
  [RouteKind.SAFE]: true,
  [RouteKind.UNSAFE]: false,
  [RouteKind.STREAM]: true,
};

export function createStopAdmission(): StopAdmission {
  const durations = new Map<string, LongestDuration>();

  /** Undefined if the deadline is all that is known of the route. */
  function estimateLongest(
    {kind, name}: Route,
    longestOpenMs: number,
  ): number | undefined {
    const longestMs = durations.get(name)?.estimate();
    return GOES_BY_DURATION[kind] && longestMs !== undefined
      ? Math.max(longestMs, longestOpenMs)
      : undefined;
  }

  return {
    observe: ({name}, durationMs) => {
      let longest = durations.get(name);
      if (!longest) {
        longest = createLongestDuration();
        durations.set(name, longest);
      }
      longest.observe(durationMs);
    },
    canAccept: (route, {longestOpenMs, ...times}) =>
      canEndBeforeStop({
        ...times,
        longestMs: estimateLongest(route, longestOpenMs),
      }),
  };
}
