/** Task that follows the store and keeps the knowledge of the instance. */
import {toRouterError, waitFor} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {StoreReader, StoreReading} from '../ports.js';
import type {Knowledge} from './knowledge.js';

/** Options of {@link createStoreWatcher}. */
export interface StoreWatcherOptions {
  reader: StoreReader;
  knowledge: Knowledge;
  clock: Clock;
  logger: Logger;
  /** Longest wait of a watch, in milliseconds. */
  watchMs: number;
  /** Pause between an answer and the next watch, in milliseconds. */
  computePauseMs: () => number;
  /** Whether the pause is to end because nobody confirms the knowledge. */
  mustHurry: () => boolean;
}

/** The task. */
export interface StoreWatcher {
  start(): void;
  stop(): void;
  /** Gives up the call under way and reads again at once. */
  refresh(): void;
  /** Whether the last call succeeded. */
  isConnected(): boolean;
}

/** First pause after a failed call; doubles up to the longest, in milliseconds. */
const FIRST_RETRY_MS = 100;
/** Short against the time after a return of the store until entries are back. */
const LONGEST_RETRY_MS = 500;
/** The store's answer may come so much later than the wait, in milliseconds. */
const ANSWER_GRACE_MS = 1000;
/** A whole reading takes several calls, in milliseconds. */
const WHOLE_READING_MS = 3000;

/** Interval of the look whether a pause has to end, in milliseconds. */
const PAUSE_LOOK_MS = 200;

/** Creates a watcher that has not started. */
export function createStoreWatcher(options: StoreWatcherOptions): StoreWatcher {
  const {reader, knowledge, clock, logger, watchMs} = options;
  const stopping = new AbortController();
  let call: AbortController | undefined;
  let mustReadAll = true;
  let isConnected = false;
  let failures = 0;
  let isHurried = false;

  /** Runs one call with its own timeout. */
  async function callStore(
    timeoutMs: number,
    run: (signal: AbortSignal) => Promise<StoreReading>,
  ): Promise<StoreReading> {
    const controller = new AbortController();
    call = controller;
    const timer = setTimeout(() => controller.abort(), timeoutMs);
    try {
      return await run(controller.signal);
    } finally {
      clearTimeout(timer);
      call = undefined;
    }
  }

  function readNext(): Promise<StoreReading> {
    if (mustReadAll) {
      return callStore(WHOLE_READING_MS, signal => reader.fetchAll(signal));
    }
    const revision = knowledge.getRevision();
    return callStore(watchMs + ANSWER_GRACE_MS, signal =>
      reader.watchChanges(revision, watchMs, signal),
    );
  }

  function acceptReading(reading: StoreReading): void {
    if (!isConnected) {
      logger.info('store_connected', {revision: reading.revision, failures});
    }
    isConnected = true;
    failures = 0;
    mustReadAll = false;
    knowledge.applyReading(reading, clock.now());
  }

  function recordFailure(error: unknown): void {
    const failure = toRouterError(error);
    knowledge.recordDisturbance(clock.now());
    if (failure.code === 'platform_history_lost') {
      mustReadAll = true;
    }
    if (isConnected || failures === 0) {
      logger.warn('store_lost', {
        code: failure.code,
        reason: failure.message,
        ageMs: Math.round(knowledge.computeAge(clock.now())),
      });
    }
    isConnected = false;
    failures += 1;
  }

  /** Leaves the reading to others for a while. */
  async function pauseReading(): Promise<void> {
    const endsAt = clock.now() + options.computePauseMs();
    isHurried = false;
    while (
      clock.now() < endsAt &&
      !isHurried &&
      !options.mustHurry() &&
      !stopping.signal.aborted
    ) {
      const restMs = endsAt - clock.now();
      await waitFor(Math.min(PAUSE_LOOK_MS, restMs), stopping.signal);
    }
  }

  async function runStep(): Promise<void> {
    try {
      acceptReading(await readNext());
      await pauseReading();
    } catch (error) {
      recordFailure(error);
      const backoff = FIRST_RETRY_MS * 2 ** Math.min(failures - 1, 3);
      await waitFor(Math.min(LONGEST_RETRY_MS, backoff), stopping.signal);
    }
  }

  async function run(): Promise<void> {
    while (!stopping.signal.aborted) {
      await runStep();
    }
  }

  return {
    start: () => void run(),
    stop: () => {
      stopping.abort();
      call?.abort();
      reader.close();
    },
    refresh: () => {
      isHurried = true;
      call?.abort();
    },
    isConnected: () => isConnected,
  };
}
