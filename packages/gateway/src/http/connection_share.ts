/** Divides descriptors between the connections of callers and those of status requests. */

/** Options of {@link createConnectionShare}. */
export interface ConnectionShareOptions {
  /** Connections of callers while few status requests are under way. */
  maximumConnections: number;
  /** Connections of status requests that callers leave free. */
  reservedConnections: number;
  countCallers: () => number;
  countStatus: () => number;
  /** Closes idle connections of callers until this many are open. */
  closeCallersBeyond: (count: number) => void;
}

export interface ConnectionShare {
  /** Computes how many connections callers may have. */
  computeCallerMaximum(): number;
  /** Closes idle connections of callers for a further one; returns the free number. */
  makeRoom(): number;
}

export function createConnectionShare({
  maximumConnections,
  reservedConnections,
  countCallers,
  countStatus,
  closeCallersBeyond,
}: ConnectionShareOptions): ConnectionShare {
  return {
    computeCallerMaximum: () =>
      maximumConnections - Math.max(0, countStatus() - reservedConnections),
    makeRoom: () => {
      const taken = countStatus() + 1 - reservedConnections;
      if (taken > 0) {
        closeCallersBeyond(maximumConnections - taken);
      }
      return (
        maximumConnections +
        reservedConnections -
        countCallers() -
        countStatus()
      );
    },
  };
}
