/** Ends a running attempt when it is of no more use, or another server takes over. */
import type {Clock} from '@buckthornbeam/shared';
import type {Attempt} from './attempt.js';

/** Options of {@link watchAttempt}; times are those of the clock, in milliseconds. */
export interface AttemptWatchOptions {
  attempt: Attempt;
  clock: Clock;
  endsAt: number;
  /** From then on the attempt counts as slow; Infinity if it never does. */
  slowAt: number;
  /** Whether the server has stopped sending. */
  isSilent: () => boolean;
  /**
   * Claims another server for the request; false if there is none. The running attempt
   * may still be answered, so that it is given up only for a server that can take over.
   */
  claimSuccessor: () => boolean;
  /** Aborted when the caller disconnects. */
  disconnectSignal: AbortSignal;
  /** Aborted when the instance ends the requests that are still open. */
  stopSignal: AbortSignal;
}

/** Reason of an attempt that ends because the instance stops. */
export const INTERRUPTED_REASON = 'interrupted';
const SLOW_POLL_MS = 100;

/** The returned function stops watching. */
export function watchAttempt(options: AttemptWatchOptions): () => void {
  const {attempt, clock, slowAt, disconnectSignal, stopSignal} = options;
  const startedAt = clock.now();

  function findSlowness(): string | undefined {
    if (clock.now() >= slowAt) {
      return 'slow_server';
    }
    return options.isSilent() ? 'silent_server' : undefined;
  }

  function abortIfSlow(): void {
    const slowness = findSlowness();
    if (slowness !== undefined && options.claimSuccessor()) {
      attempt.abort(slowness);
    }
  }

  const endTimer = setTimeout(
    () => attempt.abort('deadline'),
    Math.max(0, options.endsAt - startedAt),
  );
  const slowTimer = Number.isFinite(slowAt)
    ? setTimeout(abortIfSlow, Math.ceil(slowAt - startedAt))
    : undefined;
  const pollTimer = setInterval(abortIfSlow, SLOW_POLL_MS);
  const abortForCaller = () => attempt.abort('caller_left');
  const abortForStop = () => attempt.abort(INTERRUPTED_REASON);
  disconnectSignal.addEventListener('abort', abortForCaller);
  stopSignal.addEventListener('abort', abortForStop);
  return () => {
    clearTimeout(endTimer);
    clearTimeout(slowTimer);
    clearInterval(pollTimer);
    disconnectSignal.removeEventListener('abort', abortForCaller);
    stopSignal.removeEventListener('abort', abortForStop);
  };
}
