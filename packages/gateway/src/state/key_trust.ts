/**
 * Tells whether API keys may be taken: a withdrawn key must not be used longer
 * than the operator allows, even while nobody can be asked.
 */
import {waitFor} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {Knowledge} from './knowledge.js';
import {createSuspensionDetector} from './suspension.js';

/** Options of {@link createKeyTrust}. */
export interface KeyTrustOptions {
  knowledge: Knowledge;
  clock: Clock;
  logger: Logger;
  /** Refuse keys whose validity was not confirmed in time. */
  failClosed: boolean;
  /** A withdrawn key is refused after this time at the latest, in milliseconds. */
  revokeMs: number;
  /** The knowledge has to be confirmed again. */
  onDistrust: () => void;
}

/** Trust in the keys that the instance knows. */
export interface KeyTrust {
  /** Age of the knowledge up to which keys are taken; undefined for any age. */
  readonly maximumAgeMs: number | undefined;
  /** Notices a suspension; the knowledge of before is not trusted any more. */
  checkSuspension(): void;
  /** Gives the store and the peers a moment to confirm the keys. */
  waitForConfirmation(): Promise<void>;
  /** Whether the instance should be used by new callers. */
  isFresh(): boolean;
}

/** Margin before a withdrawn key would be taken too late: calls under way and clock drift, in milliseconds. */
const REVOKE_MARGIN_MS = 1200;
/** Part of the time until withdrawn keys are refused after which new callers go elsewhere. */
const FRESH_PART = 0.6;
/** How long a request waits until the keys are confirmed, in milliseconds. */
const CONFIRM_WAIT_MS = 400;
const CONFIRM_LOOK_MS = 10;

/** Creates the trust of an instance that has just started. */
export function createKeyTrust(options: KeyTrustOptions): KeyTrust {
  const {knowledge, clock, logger, failClosed, revokeMs} = options;
  const suspension = createSuspensionDetector(clock);
  const maximumAgeMs = failClosed
    ? Math.max(0, revokeMs - REVOKE_MARGIN_MS)
    : undefined;

  function isConfirmed(): boolean {
    return (
      maximumAgeMs === undefined ||
      knowledge.computeAge(clock.now()) <= maximumAgeMs
    );
  }

  return {
    maximumAgeMs,
    checkSuspension: () => {
      if (suspension.hasJumped()) {
        logger.warn('clock_jump', {
          reason: 'suspended, or the time of day was set',
        });
        knowledge.distrustAge();
        options.onDistrust();
      }
    },
    waitForConfirmation: async () => {
      const giveUpAt = clock.now() + CONFIRM_WAIT_MS;
      while (
        knowledge.getConfiguration() &&
        !isConfirmed() &&
        clock.now() < giveUpAt
      ) {
        await waitFor(CONFIRM_LOOK_MS);
      }
    },
    isFresh: () =>
      !failClosed || knowledge.computeAge(clock.now()) < revokeMs * FRESH_PART,
  };
}
