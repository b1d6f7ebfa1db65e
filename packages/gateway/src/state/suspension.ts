/**
 * Notices that the process was suspended. The steady clock stands still
 * meanwhile and the time of day does not, so a jump between the two means
 * either a suspension or a step of the time of day; both count.
 */
import type {Clock} from '@buckthornbeam/shared';

/** Watches the two clocks. */
export interface SuspensionDetector {
  /** Whether the clocks moved apart since the last call. */
  hasJumped(): boolean;
}

/** Drift of the two clocks that is not a jump, in milliseconds. */
const TOLERATED_DRIFT_MS = 250;

/** Creates a detector. */
export function createSuspensionDetector(clock: Clock): SuspensionDetector {
  let offset = clock.wallTime() - clock.now();
  return {
    hasJumped: () => {
      const current = clock.wallTime() - clock.now();
      const isJump = Math.abs(current - offset) > TOLERATED_DRIFT_MS;
      offset = current;
      return isJump;
    },
  };
}
