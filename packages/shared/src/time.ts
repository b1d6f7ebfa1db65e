/** Time sources. Decisions take the time as an argument; only tasks hold a clock. */

/** One second, in milliseconds. */
export const SECOND_MS = 1000;

/** A source of time. */
export interface Clock {
  /** Monotonic time in milliseconds; its zero has no meaning. */
  now(): number;
  /** Wall-clock time in milliseconds since 1970, for logs only. */
  wallTime(): number;
}

/** Creates the clock of the operating system. */
export function createSystemClock(): Clock {
  return {now: () => performance.now(), wallTime: () => Date.now()};
}

/** A clock that tests move by hand. */
export interface ManualClock extends Clock {
  /** Moves the time forward, in milliseconds. */
  advance(ms: number): void;
}

/** Creates a clock that stands still until it is advanced. */
export function createManualClock(startMs = 0): ManualClock {
  let current = startMs;
  return {
    now: () => current,
    wallTime: () => current,
    advance: ms => {
      current += ms;
    },
  };
}

/** Returns after the given time in milliseconds; ends early when aborted. */
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
