/**
 * Tells idle connections of callers from those in use. `closeIdleConnections` of
 * node:http also closes connections on which an answer still waits to be sent.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export interface CallerConnections {
  /** Keeps the connection in use until the answer is handed over. */
  recordRequest(request: IncomingMessage, response: ServerResponse): void;
  /**
   * Calls `run` once no complete request of a connection waits for its answer; at once
   * if none does.
   */
  waitForAnswers(socket: Socket, run: () => void): void;
  /** Closes the connections without a request, also without a part of one. */
  closeIdle(): void;
}

interface ConnectionState {
  /** Requests whose answers are under way. */
  openRequests: Set<IncomingMessage>;
  /** Bytes received until the end of the last answer. */
  usedBytes: number;
  /** Called once no complete request waits for its answer. */
  onIdle: (() => void) | undefined;
}

/** A request with a body that is not complete is not passed on. */
function hasCompleteRequest({openRequests}: ConnectionState): boolean {
  return [...openRequests].some(request => request.complete);
}

/** Follows the connections of a server from now on. */
export function createCallerConnections(server: Server): CallerConnections {
  const connections = new Map<Socket, ConnectionState>();

  server.on('connection', (socket: Socket) => {
    connections.set(socket, {
      openRequests: new Set(),
      usedBytes: 0,
      onIdle: undefined,
    });
    socket.on('close', () => connections.delete(socket));
  });

  return {
    recordRequest: (request, response) => {
      const {socket} = request;
      const state = connections.get(socket);
      if (!state) {
        return;
      }
      state.openRequests.add(request);
      response.once('close', () => {
        state.openRequests.delete(request);
        state.usedBytes = socket.bytesRead;
        if (!hasCompleteRequest(state)) {
          state.onIdle?.();
        }
      });
    },
    waitForAnswers: (socket, run) => {
      const state = connections.get(socket);
      if (state && hasCompleteRequest(state)) {
        state.onIdle = run;
      } else {
        run();
      }
    },
    closeIdle: () => {
      for (const [socket, {openRequests, usedBytes}] of connections) {
        if (openRequests.size === 0 && socket.bytesRead === usedBytes) {
          socket.destroy();
        }
      }
    },
  };
}
