/**
 * Detects that the event loop stood still while the steady clock went on: one turn
 * took long, or the process was stopped. What is read afterwards may have waited in
 * its socket for all of that time, so that an age in it is too low.
 */
import type {Clock, Logger} from '@buckthornbeam/shared';

export interface PauseDetector {
  /** Begins to check at an interval. */
  start(): void;
  stop(): void;
  /** Must be called before anything that was received is used. */
  checkPause(): void;
  /**
   * Computes an upper bound of the time for which something that is read now has
   * waited in its socket, in milliseconds; 0 unless a pause has just ended.
   */
  computeWaitedMs(): number;
  /** Longest pause in the last one to two minutes, in milliseconds. */
  getLongestPauseMs(): number;
}

/** Options of {@link createPauseDetector}. */
export interface PauseDetectorOptions {
  clock: Clock;
  logger: Logger;
  /** Called with the length of each pause, in milliseconds. */
  onPause?: (pausedMs: number) => void;
  /** Returns the processor time that the process has used, in milliseconds. */
  readProcessorMs?: () => number;
}

const CHECK_INTERVAL_MS = 100;
/** Time beyond the interval that counts as a pause. */
const PAUSE_MS = 200;
const LOGGED_PAUSE_MS = 500;
/** Time after a pause in which what arrived during it is read. */
const BACKLOG_MS = 200;
const LONGEST_PERIOD_MS = 60_000;

function readProcessorMs(): number {
  const {user, system} = process.cpuUsage();
  return (user + system) / 1000;
}

export function createPauseDetector(
  options: PauseDetectorOptions,
): PauseDetector {
  const {clock, logger, onPause = () => undefined} = options;
  const readProcessor = options.readProcessorMs ?? readProcessorMs;
  let timer: NodeJS.Timeout | undefined;
  let lastCheckAt = clock.now();
  let lastProcessorMs = readProcessor();
  /** What is read until `backlogEndsAt` may have arrived from `backlogBeganAt` on. */
  let backlogBeganAt = 0;
  let backlogEndsAt = -Infinity;
  let lastPauseBeganAt = 0;
  let periodBeganAt = clock.now();
  let longestMs = 0;
  let longestOfLastPeriodMs = 0;

  function updatePeriod(now: number): void {
    if (now - periodBeganAt > LONGEST_PERIOD_MS) {
      longestOfLastPeriodMs = longestMs;
      longestMs = 0;
      periodBeganAt = now;
    }
  }

  function recordPause(now: number): void {
    const pausedMs = now - lastCheckAt;
    // Only one pause before counts: many long turns in a row do read what arrives.
    backlogBeganAt =
      lastCheckAt < backlogEndsAt ? lastPauseBeganAt : lastCheckAt;
    lastPauseBeganAt = lastCheckAt;
    backlogEndsAt = now + BACKLOG_MS;
    longestMs = Math.max(longestMs, pausedMs);
    if (pausedMs >= LOGGED_PAUSE_MS) {
      logger.warn('event_loop_paused', {
        pausedMs: Math.round(pausedMs),
        // Near the length of the pause for a long turn, near 0 for a stopped process.
        processorMs: Math.round(readProcessor() - lastProcessorMs),
      });
    }
    onPause(pausedMs);
  }

  function checkPause(): void {
    const now = clock.now();
    updatePeriod(now);
    if (now - lastCheckAt > CHECK_INTERVAL_MS + PAUSE_MS) {
      recordPause(now);
    }
    lastCheckAt = now;
  }

  return {
    start: () => {
      lastCheckAt = clock.now();
      timer = setInterval(() => {
        checkPause();
        lastProcessorMs = readProcessor();
      }, CHECK_INTERVAL_MS);
      timer.unref();
    },
    stop: () => clearInterval(timer),
    checkPause,
    computeWaitedMs: () => {
      const now = clock.now();
      return now < backlogEndsAt ? now - backlogBeganAt : 0;
    },
    getLongestPauseMs: () => {
      updatePeriod(clock.now());
      return Math.max(longestMs, longestOfLastPeriodMs);
    },
  };
}
