/** Where one request was placed, and whether it may be placed again. */
import type {DispatchRequest} from '@buckthornbeam/protocol';
import {RouterError} from '@buckthornbeam/shared';
import type {ErrorCode} from '@buckthornbeam/shared';

/** Failed attempts of one request before the caller is told. */
const MAXIMUM_FAILURES = 4;
/** Refusals of one request before the caller is told. */
const MAXIMUM_REFUSALS = 16;
/** Time for views of ownership to agree, in milliseconds. */
const OWNER_CHANGE_PAUSE_MS = 50;

/** The placements of one request so far. */
export interface Placements {
  /** Makes the next attempt, or throws why no server is left. */
  makeNext(
    make: (refusedBy: ReadonlySet<string>) => DispatchRequest,
  ): DispatchRequest;
  /** Takes a failure; returns the pause before the next one, if any is due. */
  observe(error: unknown, serverId: string): number | undefined;
}

/** Creates the record of a request that was not placed yet. */
export function createPlacements(): Placements {
  const refusedBy = new Set<string>();
  let failures = 0;
  let refusals = 0;
  let lastRefusal: unknown;

  function observeRefusal(error: unknown, pauseMs: number): number | undefined {
    lastRefusal = error;
    refusals += 1;
    return refusals < MAXIMUM_REFUSALS ? pauseMs : undefined;
  }

  /** What to do about work that a server gave up or did not take. */
  const observers: Partial<
    Record<ErrorCode, (error: RouterError, id: string) => number | undefined>
  > = {
    // Making room for a higher tier is no failure, however often it happens.
    preempted: () => 0,
    overloaded: (error, serverId) => {
      refusedBy.add(serverId);
      return observeRefusal(error, 0);
    },
    not_owner: error => observeRefusal(error, OWNER_CHANGE_PAUSE_MS),
    no_server: error => observeRefusal(error, OWNER_CHANGE_PAUSE_MS),
  };

  return {
    makeNext: make => {
      try {
        return make(refusedBy);
      } catch (error) {
        throw lastRefusal ?? error;
      }
    },
    observe: (error, serverId) => {
      if (error instanceof RouterError && observers[error.code]) {
        return observers[error.code]!(error, serverId);
      }
      failures += 1;
      return failures < MAXIMUM_FAILURES ? 0 : undefined;
    },
  };
}
