/**
 * Counts the work that others still have at a server. After a change of owners
 * the streams of the earlier one go on, and a server that has just started
 * bears no request too many.
 */

/** Work of others at one server. */
export interface ForeignWork {
  /** Takes the server's own count and how many of these are of this owner. */
  recordReport(running: number, ownRunning: number): void;
  /** No report is to be had; what was known before still holds. */
  recordMissing(): void;
  /** Computes the part of a limit that is left; 0 before the first report. */
  computeRoom(limit: number): number;
}

/** Creates the count of a server that has not reported yet. */
export function createForeignWork(): ForeignWork {
  let isKnown = false;
  let running = 0;
  return {
    recordReport: (total, ownRunning) => {
      isKnown = true;
      running = Math.max(0, total - ownRunning);
    },
    recordMissing: () => {
      isKnown = true;
    },
    computeRoom: limit => (isKnown ? Math.max(0, limit - running) : 0),
  };
}
