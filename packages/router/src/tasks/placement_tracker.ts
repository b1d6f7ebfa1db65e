/** Tracks the failed placements of one request and decides on another one. */
import type {DispatchRequest} from '@buckthornbeam/protocol';
import {RouterError} from '@buckthornbeam/shared';
import type {ErrorCode} from '@buckthornbeam/shared';

/** Failed attempts of one request before the failure goes to the caller. */
const MAXIMUM_FAILURES = 4;
/** Refusals of one request before the refusal goes to the caller. */
const MAXIMUM_REFUSALS = 16;
/** Pause that lets the instances' views of server ownership converge. */
const OWNER_CHANGE_PAUSE_MS = 50;

/** The placements of one request. */
export interface PlacementTracker {
  /**
   * Makes the next attempt; `refusedBy` has the ids of overloaded servers to
   * avoid. If that throws, the last refusal is thrown instead, if there is one.
   */
  makeNext(
    make: (refusedBy: ReadonlySet<string>) => DispatchRequest,
  ): DispatchRequest;
  /**
   * Records the error of an attempt. Returns the pause before the next attempt
   * in milliseconds, or undefined if the request must not be placed again.
   */
  recordError(error: unknown, serverId: string): number | undefined;
}

/** Creates the tracker of a new request. */
export function createPlacementTracker(): PlacementTracker {
  const refusedBy = new Set<string>();
  let failures = 0;
  let refusals = 0;
  let lastRefusal: unknown;

  function observeRefusal(error: unknown, pauseMs: number): number | undefined {
    lastRefusal = error;
    refusals += 1;
    return refusals < MAXIMUM_REFUSALS ? pauseMs : undefined;
  }

  /** Handlers of refusals; any other error counts as a failed attempt. */
  const errorHandlers: Partial<
    Record<ErrorCode, (error: RouterError, id: string) => number | undefined>
  > = {
    // Preemption is neither a failure nor a refusal, so it has no retry limit.
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
    recordError: (error, serverId) => {
      if (error instanceof RouterError && errorHandlers[error.code]) {
        return errorHandlers[error.code]!(error, serverId);
      }
      failures += 1;
      return failures < MAXIMUM_FAILURES ? 0 : undefined;
    },
  };
}
