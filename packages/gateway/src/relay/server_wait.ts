/** Waits until a backend server is available to a request. */
import {waitFor} from '@buckthornbeam/shared';
import type {Clock} from '@buckthornbeam/shared';
import type {RequestMetadata, Route} from '../model.js';
import type {
  SelectedServer,
  SelectionLimits,
  ServerSelection,
} from '../state/server_selection.js';
import type {WaitingPlace} from '../state/waiting_requests.js';

/** Options of {@link waitForServer}. */
export interface ServerWaitOptions {
  selection: ServerSelection;
  route: Route;
  metadata: RequestMetadata;
  /** Ids of servers that must not be chosen. */
  excluded: ReadonlySet<string>;
  buildLimits: (now: number) => SelectionLimits;
  /** Chooses a server that is available now. */
  select: (limits: SelectionLimits, now: number) => SelectedServer | undefined;
  /** Deadline of the request, in milliseconds. */
  deadlineAt: number;
  /** Time until which the request waits, if that is longer than usual. */
  waitUntil?: number | undefined;
  clock: Clock;
  /** Aborted when the caller disconnects. */
  disconnectSignal: AbortSignal;
  stopSignal: AbortSignal;
  /** Called when no server is available. */
  onLack?: (now: number) => void;
  /** Waits between two polls. */
  pause?: (ms: number, signal: AbortSignal) => Promise<void>;
}

export interface ServerWaitResult {
  /** Undefined if no server was available in time. */
  selected: SelectedServer | undefined;
  /**
   * Time until limits and pauses of the servers allow the request, in milliseconds, if
   * that is all that keeps it back.
   */
  limitWaitMs: number | undefined;
}

/** Fraction of the target latency that a request waits. */
const WAIT_RATIO = 0.25;
/** Lower bound of that wait: a few polls. */
const MINIMUM_WAIT_MS = 40;
const POLL_MS = 10;

/**
 * Polls for an available server until the wait limit, the deadline or the disconnection
 * of the caller. The wait ends at once if limits and pauses allow no request before.
 */
export async function waitForServer(
  options: ServerWaitOptions,
): Promise<ServerWaitResult> {
  const {selection, route, metadata, excluded, clock, deadlineAt} = options;
  const {disconnectSignal, stopSignal, pause = waitFor} = options;
  const waitMs = Math.max(MINIMUM_WAIT_MS, route.targetLatencyMs * WAIT_RATIO);
  const waitEndsAt = Math.min(
    deadlineAt,
    Math.max(clock.now() + waitMs, options.waitUntil ?? -Infinity),
  );
  let place: WaitingPlace | undefined;
  try {
    for (;;) {
      const now = clock.now();
      const limits = {
        ...options.buildLimits(now),
        ...(place ? {place} : {}),
      };
      const selected = options.select(limits, now);
      if (selected) {
        return {selected, limitWaitMs: undefined};
      }
      options.onLack?.(now);
      const limitWaitMs = selection.computeLimitWait(
        route,
        metadata,
        excluded,
        limits,
        now,
      );
      if (limitWaitMs !== undefined) {
        place ??= selection.addWaiting(route, limits.urgencyPosition);
      } else {
        place?.end();
        place = undefined;
      }
      const nextAt = now + Math.max(POLL_MS, limitWaitMs ?? 0);
      if (
        disconnectSignal.aborted ||
        stopSignal.aborted ||
        nextAt > waitEndsAt
      ) {
        return {selected: undefined, limitWaitMs};
      }
      await pause(POLL_MS, disconnectSignal);
    }
  } finally {
    place?.end();
  }
}
