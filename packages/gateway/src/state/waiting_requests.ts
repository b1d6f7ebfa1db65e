/**
 * Order of the requests that wait for a server: the most urgent first, then the one
 * that has waited longest.
 */

/** The place of one request. */
export interface WaitingPlace {
  /** Counts the requests ahead of this one that wait for a server of the service. */
  countAhead(serviceName: string): number;
  /** Removes the request. */
  end(): void;
}

export interface WaitingRequests {
  /**
   * @param urgencyPosition Position in the order of urgency; 0 is the first.
   */
  add(serviceNames: readonly string[], urgencyPosition: number): WaitingPlace;
  /** Counts the requests ahead of one that arrives now. */
  countAhead(serviceName: string, urgencyPosition: number): number;
}

interface WaitingRequest {
  urgencyPosition: number;
}

export function createWaitingRequests(): WaitingRequests {
  /** Waiting requests in their order, by service. */
  const queues = new Map<string, WaitingRequest[]>();

  function countAhead(serviceName: string, urgencyPosition: number): number {
    const queue = queues.get(serviceName) ?? [];
    const index = queue.findIndex(
      other => other.urgencyPosition > urgencyPosition,
    );
    return index < 0 ? queue.length : index;
  }

  function removeFrom(serviceName: string, request: WaitingRequest): void {
    const rest = queues.get(serviceName)!.filter(other => other !== request);
    if (rest.length > 0) {
      queues.set(serviceName, rest);
    } else {
      queues.delete(serviceName);
    }
  }

  return {
    countAhead,
    add: (serviceNames, urgencyPosition) => {
      const request = {urgencyPosition};
      const names = new Set(serviceNames);
      for (const name of names) {
        const queue = queues.get(name) ?? [];
        queue.splice(countAhead(name, urgencyPosition), 0, request);
        queues.set(name, queue);
      }
      return {
        countAhead: name => queues.get(name)?.indexOf(request) ?? 0,
        end: () => names.forEach(name => removeFrom(name, request)),
      };
    },
  };
}
