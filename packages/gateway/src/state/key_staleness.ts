/**
 * Decides whether the cached API keys are recent enough to accept. A revoked
 * key must stop working within the time that the operator configured, even
 * while neither the store nor a peer can be reached.
 */
import {waitFor} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {ClusterState} from './cluster_state.js';
import {createSuspensionDetector} from './suspension.js';

/** Options of {@link createKeyStaleness}. */
export interface KeyStalenessOptions {
  clusterState: ClusterState;
  clock: Clock;
  logger: Logger;
  /** Refuse API keys when the cluster state was not confirmed in time. */
  failClosed: boolean;
  /** Time after which a revoked key must be refused, in milliseconds. */
  revokeMs: number;
  /** Called after a suspension; the cluster state must be confirmed again. */
  onSuspension: () => void;
}

/** Checks the age of the cached API keys. */
export interface KeyStaleness {
  /**
   * Highest age of the cluster state at which its keys are accepted, in
   * milliseconds; undefined if keys never become stale.
   */
  readonly maximumAgeMs: number | undefined;
  /** Discards the last confirmation if the process was suspended since the last call. */
  checkSuspension(): void;
  /**
   * Waits briefly for the store or a peer to confirm stale keys, and after a start
   * for the first configuration. Returns at once if neither is missing.
   * @param deadlineMs Time that the caller of the request waits, if it said so.
   */
  waitForConfirmation(deadlineMs: number | undefined): Promise<void>;
  /**
   * Whether new callers should use this instance. It turns false before the
   * keys become stale.
   */
  isFresh(): boolean;
}

/** Margin before the revocation time, for calls in progress and clock drift. */
const REVOKE_MARGIN_MS = 1200;
/** Fraction of the revocation time after which new callers use other instances. */
const FRESH_RATIO = 0.6;
/** Longest wait of a request for the confirmation of the keys. */
const CONFIRM_WAIT_MS = 400;
/**
 * Longest wait for the first configuration. A refusal would cost the caller one of
 * its few tries, and the other instances may have been restarted as well.
 */
const FIRST_CONFIGURATION_WAIT_MS = 1000;
/** Part of the caller's time that is waited for the first configuration at most. */
const FIRST_CONFIGURATION_RATIO = 0.25;
const CONFIRM_POLL_MS = 10;

export function createKeyStaleness(options: KeyStalenessOptions): KeyStaleness {
  const {clusterState, clock, logger, failClosed, revokeMs} = options;
  const suspension = createSuspensionDetector(clock);
  const maximumAgeMs = failClosed
    ? Math.max(0, revokeMs - REVOKE_MARGIN_MS)
    : undefined;

  function isConfirmed(): boolean {
    return (
      maximumAgeMs === undefined ||
      clusterState.computeAge(clock.now()) <= maximumAgeMs
    );
  }

  async function waitUntil(
    condition: () => boolean,
    endsAt: number,
  ): Promise<void> {
    while (!condition() && clock.now() < endsAt) {
      await waitFor(CONFIRM_POLL_MS);
    }
  }

  return {
    maximumAgeMs,
    checkSuspension: () => {
      if (suspension.hasJumped()) {
        logger.warn('clock_jump', {
          reason: 'process suspended or time of day changed',
        });
        clusterState.clearConfirmation();
        options.onSuspension();
      }
    },
    waitForConfirmation: async (deadlineMs = Infinity) => {
      const startedAt = clock.now();
      const firstWaitMs = Math.min(
        FIRST_CONFIGURATION_WAIT_MS,
        deadlineMs * FIRST_CONFIGURATION_RATIO,
      );
      await waitUntil(
        () => clusterState.getConfiguration() !== undefined,
        startedAt + firstWaitMs,
      );
      if (clusterState.getConfiguration()) {
        await waitUntil(isConfirmed, startedAt + CONFIRM_WAIT_MS);
      }
    },
    isFresh: () =>
      !failClosed ||
      clusterState.computeAge(clock.now()) < revokeMs * FRESH_RATIO,
  };
}
