/**
 * Tells idle connections of callers from those in use. `closeIdleConnections` of
 * node:http also closes connections on which an answer still waits to be sent.
 */
import type {Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

export interface CallerConnections {
  /** Keeps the connection in use until the answer is handed over. */
  recordRequest(socket: Socket, response: ServerResponse): void;
  /** Calls `run` once no answer is under way on a connection; at once if none is. */
  waitForAnswers(socket: Socket, run: () => void): void;
  /** Closes the connections without a request, also without a part of one. */
  closeIdle(): void;
}

interface ConnectionState {
  openAnswers: number;
  /** Bytes received until the end of the last answer. */
  usedBytes: number;
  /** Called once no answer is under way. */
  onIdle: (() => void) | undefined;
}

/** Follows the connections of a server from now on. */
export function createCallerConnections(server: Server): CallerConnections {
  const connections = new Map<Socket, ConnectionState>();

  server.on('connection', (socket: Socket) => {
    connections.set(socket, {
      openAnswers: 0,
      usedBytes: 0,
      onIdle: undefined,
    });
    socket.on('close', () => connections.delete(socket));
  });

  return {
    recordRequest: (socket, response) => {
      const state = connections.get(socket);
      if (!state) {
        return;
      }
      state.openAnswers += 1;
      response.once('close', () => {
        state.openAnswers -= 1;
        state.usedBytes = socket.bytesRead;
        if (state.openAnswers === 0) {
          state.onIdle?.();
        }
      });
    },
    waitForAnswers: (socket, run) => {
      const state = connections.get(socket);
      if (state && state.openAnswers > 0) {
        state.onIdle = run;
      } else {
        run();
      }
    },
    closeIdle: () => {
      for (const [socket, {openAnswers, usedBytes}] of connections) {
        if (openAnswers === 0 && socket.bytesRead === usedBytes) {
          socket.destroy();
        }
      }
    },
  };
}
