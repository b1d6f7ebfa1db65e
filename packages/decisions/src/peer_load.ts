/**
 * Counts the requests that other instances still run on a server. After a
 * change of ownership, the streams of the previous owner continue, and a server
 * that has just started cannot take even one request beyond its limit.
 */

/** Requests of other instances on one server. */
export interface PeerLoad {
  /**
   * Takes the total from the server's own report and the owner's part of it.
   */
  recordReport(running: number, ownRunning: number): void;
  /** The server gives no report: keeps the last count, 0 if there was none. */
  recordMissing(): void;
  /**
   * Computes the requests left to the owner; 0 before the first `record` call.
   */
  computeRoom(limit: number): number;
}

export function createPeerLoad(): PeerLoad {
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
