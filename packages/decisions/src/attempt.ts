/** How far an attempt got, and what that says about its execution. */
import {Outcome} from '@buckthornbeam/shared';

/** Facts about an attempt, recorded in the order in which they happen. */
export interface AttemptProgress {
  /** The request may have left this process. */
  bytesWritten: boolean;
  /** The back end proved that it did not run the request. */
  refusedByServer: boolean;
  /** The terminator of the answer arrived. */
  terminated: boolean;
}

/** Creates the progress of an attempt that has not begun. */
export function createAttemptProgress(): AttemptProgress {
  return {bytesWritten: false, refusedByServer: false, terminated: false};
}

/** Tells the outcome of an attempt. */
export function resolveOutcome(progress: AttemptProgress): Outcome {
  if (progress.terminated) {
    return Outcome.COMPLETED;
  }
  if (!progress.bytesWritten || progress.refusedByServer) {
    return Outcome.NOT_RUN;
  }
  return Outcome.UNKNOWN;
}
