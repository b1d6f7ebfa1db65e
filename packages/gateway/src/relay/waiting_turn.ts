/** Chooses the waiting requests for which servers are selected in one turn. */

/** A waiting request as far as its turn depends on it. */
export interface TurnRequest {
  /** Requests of one rank wait for the same capacity and are equally urgent. */
  rank: string;
  /** Number of the turn in which a server was last selected for it. */
  triedInTurn: number;
  /** Whether it may go before more urgent ones. */
  canPass: () => boolean;
}

/**
 * Requests of a rank that are tried in one turn, after which those that arrived later
 * wait. A selection compares all servers, so that more would use up the processor of a
 * small instance.
 */
const TRIES_BY_ARRIVAL = 2;
/** Further ones, those tried longest ago: the first may need servers that the others do not. */
const TRIES_IN_ROTATION = 2;

/** Moves the first of each rank that may pass to the front. */
export function sortByTurn<Request extends TurnRequest>(
  requests: readonly Request[],
): Request[] {
  const passing = new Map<string, Request>();
  for (const request of requests) {
    if (!passing.has(request.rank) && request.canPass()) {
      passing.set(request.rank, request);
    }
  }
  const first = new Set(passing.values());
  return [...first, ...requests.filter(item => !first.has(item))];
}

/** Selects those that are tried in this turn. */
export function selectTried<Request extends TurnRequest>(
  ordered: readonly Request[],
): Set<Request> {
  const byRank = new Map<string, Request[]>();
  for (const request of ordered) {
    const others = byRank.get(request.rank);
    if (others) {
      others.push(request);
    } else {
      byRank.set(request.rank, [request]);
    }
  }
  const tried = [...byRank.values()].flatMap(rank => [
    ...rank.slice(0, TRIES_BY_ARRIVAL),
    ...rank
      .slice(TRIES_BY_ARRIVAL)
      .sort((a, b) => a.triedInTurn - b.triedInTurn)
      .slice(0, TRIES_IN_ROTATION),
  ]);
  return new Set(tried);
}
