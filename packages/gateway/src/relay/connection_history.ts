/**
 * What each connection to a backend server has carried. A server may send an extra
 * copy of an answer when the next one is due. The request id distinguishes the two, but
 * only if no connection carries the same request twice.
 */
import type {Socket} from 'node:net';

export interface ConnectionHistory {
  /** Whether the request may be sent: no earlier answer had its id. */
  canCarry(requestId: string): boolean;
  /** Whether the connection can be used again at all. */
  canCarryMore(): boolean;
  recordRequest(requestId: string): void;
  /** The last request succeeded, so it is not sent again. */
  recordSuccess(): void;
  /**
   * Number of the connection in this process and of its last request, both from
   * 1, for logs: `12:3`.
   */
  describe(): string;
}

/** Bounds the memory of a connection for ids. */
const MAXIMUM_ID_CHARACTERS = 4096;

function createConnectionHistory(connectionNumber: number): ConnectionHistory {
  /** Ids of requests that may be sent again. */
  const repeatableIds = new Set<string>();
  let idCharacters = 0;
  let lastId = '';
  let requestCount = 0;
  return {
    canCarry: requestId => !repeatableIds.has(requestId),
    canCarryMore: () => idCharacters <= MAXIMUM_ID_CHARACTERS,
    recordRequest: requestId => {
      requestCount += 1;
      lastId = requestId;
      repeatableIds.add(requestId);
      idCharacters += requestId.length;
    },
    recordSuccess: () => {
      if (repeatableIds.delete(lastId)) {
        idCharacters -= lastId.length;
      }
    },
    describe: () => `${connectionNumber}:${requestCount}`,
  };
}

const histories = new WeakMap<Socket, ConnectionHistory>();
let connectionCount = 0;

/** Returns the history of a connection; a connection without one gets it. */
export function getHistory(socket: Socket): ConnectionHistory {
  let history = histories.get(socket);
  if (!history) {
    connectionCount += 1;
    history = createConnectionHistory(connectionCount);
    histories.set(socket, history);
  }
  return history;
}
