/**
 * Detects that the process was suspended. The monotonic clock stops during a
 * suspension while the time of day advances, so a change of the difference
 * between them means a suspension or an adjustment of the time of day. The two
 * cannot be told apart, and both are reported.
 */
import type {Clock} from '@buckthornbeam/shared';

export interface SuspensionDetector {
  /** Whether the difference between the clocks changed since the last call. */
  hasJumped(): boolean;
}

/** Change of the difference between the clocks that counts as drift. */
const TOLERATED_DRIFT_MS = 250;

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
