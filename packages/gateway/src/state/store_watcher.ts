/** Task that watches the store and keeps the cached cluster state up to date. */
import {toRouterError, waitFor} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {StoreReader, StoreSnapshot} from '../ports.js';
import type {ClusterState} from './cluster_state.js';

/** Options of {@link createStoreWatcher}. */
export interface StoreWatcherOptions {
  reader: StoreReader;
  clusterState: ClusterState;
  clock: Clock;
  logger: Logger;
  /** Time for which the store holds a watch without changes, in milliseconds. */
  watchMs: number;
  /** Computes the pause between an answer and the next watch, in milliseconds. */
  computePauseMs: () => number;
  /** Whether to end the pause early because the cluster state is not confirmed. */
  mustEndPause: () => boolean;
}

export interface StoreWatcher {
  start(): void;
  stop(): void;
  /** Cancels the current call and the pause, so that the next read starts soon. */
  refresh(): void;
  /** Whether the last call succeeded. */
  isConnected(): boolean;
}

/** First pause after a failed call; it doubles with each further failure. */
const FIRST_RETRY_MS = 100;
/** Short compared with the time that entries take to reappear after a store failure. */
const LONGEST_RETRY_MS = 500;
/** Time beyond `watchMs` until a watch without an answer is cancelled. */
const WATCH_TIMEOUT_MARGIN_MS = 1000;
/** A full read takes several calls to the store. */
const FULL_READ_TIMEOUT_MS = 3000;

const PAUSE_POLL_MS = 200;

export function createStoreWatcher(options: StoreWatcherOptions): StoreWatcher {
  const {reader, clusterState, clock, logger, watchMs} = options;
  const stopping = new AbortController();
  let call: AbortController | undefined;
  let needsFullRead = true;
  let isConnected = false;
  let failures = 0;
  let isRefreshRequested = false;

  /** Runs one call with its own timeout. */
  async function callStore(
    timeoutMs: number,
    run: (signal: AbortSignal) => Promise<StoreSnapshot>,
  ): Promise<StoreSnapshot> {
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

  function readNext(): Promise<StoreSnapshot> {
    if (needsFullRead) {
      return callStore(FULL_READ_TIMEOUT_MS, signal => reader.fetchAll(signal));
    }
    const revision = clusterState.getRevision();
    return callStore(watchMs + WATCH_TIMEOUT_MARGIN_MS, signal =>
      reader.watchChanges(revision, watchMs, signal),
    );
  }

  function acceptSnapshot(snapshot: StoreSnapshot): void {
    if (!isConnected) {
      logger.info('store_connected', {revision: snapshot.revision, failures});
    }
    isConnected = true;
    failures = 0;
    needsFullRead = false;
    clusterState.applyStoreSnapshot(snapshot, clock.now());
  }

  function recordFailure(error: unknown): void {
    const failure = toRouterError(error);
    clusterState.recordStoreFailure(clock.now());
    if (failure.code === 'platform_history_lost') {
      needsFullRead = true;
    }
    if (isConnected || failures === 0) {
      logger.warn('store_lost', {
        code: failure.code,
        reason: failure.message,
        ageMs: Math.round(clusterState.computeAge(clock.now())),
      });
    }
    isConnected = false;
    failures += 1;
  }

  /** Pauses before the next read; ends early on a refresh, a stop or stale state. */
  async function pauseReads(): Promise<void> {
    const endsAt = clock.now() + options.computePauseMs();
    isRefreshRequested = false;
    while (
      clock.now() < endsAt &&
      !isRefreshRequested &&
      !options.mustEndPause() &&
      !stopping.signal.aborted
    ) {
      const remainingMs = endsAt - clock.now();
      await waitFor(Math.min(PAUSE_POLL_MS, remainingMs), stopping.signal);
    }
  }

  async function runStep(): Promise<void> {
    try {
      acceptSnapshot(await readNext());
      await pauseReads();
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
      isRefreshRequested = true;
      call?.abort();
    },
    isConnected: () => isConnected,
  };
}
