/**
 * Clocks. Decision functions take the time as an argument; only tasks read a
 * clock.
 */

export const SECOND_MS = 1000;

export interface Clock {
  /** Monotonic time in milliseconds, from an arbitrary origin. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970 (UTC), for logs only. */
  wallTime(): number;
}

/** Creates a clock that reads the system time. */
export function createSystemClock(): Clock {
  return {now: () => performance.now(), wallTime: () => Date.now()};
}

/** A clock that a test advances explicitly. */
export interface ManualClock extends Clock {
  advance(ms: number): void;
}

/** Creates a clock that only changes through `advance`. */
export function createManualClock(startMs = 0): ManualClock {
  let currentMs = startMs;
  return {
    now: () => currentMs,
    wallTime: () => currentMs,
    advance: ms => {
      currentMs += ms;
    },
  };
}

/** Resolves after `ms` milliseconds, or as soon as `signal` is aborted. */
export function waitFor(ms: number, signal?: AbortSignal): Promise<void> {
  return new Promise(resolve => {
    const timer = setTimeout(finish, ms);
    function finish() {
      clearTimeout(timer);
      signal?.removeEventListener('abort', finish);
      resolve();
    }
    if (signal?.aborted) {
      finish();
      return;
    }
    signal?.addEventListener('abort', finish);
  });
}
