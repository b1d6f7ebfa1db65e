/**
 * Tells idle connections of clients from those in use. `closeIdleConnections` of
 * node:http also closes connections on which an answer still waits to be sent.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {addPacedSockets} from '@buckthornbeam/shared';
import type {UnfinishedHead} from './unfinished_heads.js';

export interface CallerConnections {
  /** Keeps the connection in use until the answer is handed over. */
  recordRequest(request: IncomingMessage, response: ServerResponse): void;
  /**
   * Calls `run` once no complete request of a connection waits for its answer; at once
   * if none does.
   */
  waitForAnswers(socket: Socket, run: () => void): void;
  /** Lists the connections with a part of a head. */
  listHeads(): UnfinishedHead[];
  /** Closes the connections without a request, also without a part of one. */
  closeIdle(): void;
  /** Counts the requests of a connection whose answers are under way. */
  countRequests(socket: Socket): number;
  /** Closes connections without a request until this many are open. */
  closeBeyond(count: number): void;
  count(): number;
}

/** Options of {@link createCallerConnections}. */
export interface CallerConnectionsOptions {
  /** Tells how many connections may be open; Infinity by default. */
  getMaximum?: () => number;
  /** Called when a connection is closed because too many are open. */
  onFull?: () => void;
}

interface ConnectionState {
  /** Requests whose answers are under way. */
  openRequests: Set<IncomingMessage>;
  /** Bytes received until the end of the last answer. */
  usedBytes: number;
  /** Bytes received until the end of the last request. */
  requestBytes: number;
  /** A request was refused within its body, so that the rest is dropped. */
  isDropped: boolean;
  /** Called, once, when no complete request waits for its answer. */
  onIdle: (() => void) | undefined;
}

/** Order in which connections are closed when too many are open; the lowest first. */
function rankIdle(socket: Socket, {openRequests, usedBytes}: ConnectionState) {
  if (openRequests.size > 0) {
    return undefined;
  }
  if (usedBytes === 0) {
    return socket.bytesRead === 0 ? 0 : 1;
  }
  return socket.bytesRead === usedBytes ? 3 : 2;
}

/** A request with a body that is not complete is not passed on. */
function hasCompleteRequest({openRequests}: ConnectionState): boolean {
  return [...openRequests].some(request => request.complete);
}

/** Computes the bytes of a head that is not complete; the body of a request may follow it. */
function computeHeadBytes(
  {bytesRead}: Socket,
  {openRequests, usedBytes, requestBytes, isDropped}: ConnectionState,
): number {
  const hasBody = [...openRequests].some(request => !request.complete);
  return hasBody || isDropped
    ? 0
    : bytesRead - Math.max(usedBytes, requestBytes);
}

/** Follows the connections of a server from now on. */
export function createCallerConnections(
  server: Server,
  {
    getMaximum = () => Infinity,
    onFull = () => undefined,
  }: CallerConnectionsOptions = {},
): CallerConnections {
  const connections = new Map<Socket, ConnectionState>();

  server.once(
    'close',
    addPacedSockets(() => connections.keys()),
  );

  /** Finds the oldest of the connections that are missed least. */
  function findIdlest(): Socket | undefined {
    let idlest: Socket | undefined;
    let lowest = Infinity;
    for (const [socket, state] of connections) {
      const rank = rankIdle(socket, state);
      if (rank !== undefined && rank < lowest) {
        lowest = rank;
        idlest = socket;
      }
      if (lowest === 0) {
        break;
      }
    }
    return idlest;
  }

  /** Returns false if all connections are in use. */
  function closeIdlest(): boolean {
    const socket = findIdlest();
    if (socket) {
      connections.delete(socket);
      socket.destroy();
    }
    return socket !== undefined;
  }

  server.on('connection', (socket: Socket) => {
    if (connections.size >= getMaximum()) {
      onFull();
      closeIdlest();
    }
    if (connections.size >= getMaximum()) {
      socket.destroy();
      return;
    }
    connections.set(socket, {
      openRequests: new Set(),
      usedBytes: 0,
      requestBytes: 0,
      isDropped: false,
      onIdle: undefined,
    });
    socket.on('close', () => connections.delete(socket));
  });

  return {
    count: () => connections.size,
    recordRequest: (request, response) => {
      const {socket} = request;
      const state = connections.get(socket);
      if (!state) {
        return;
      }
      state.openRequests.add(request);
      request.once('end', () => {
        state.requestBytes = socket.bytesRead;
      });
      response.once('close', () => {
        state.openRequests.delete(request);
        state.usedBytes = socket.bytesRead;
        state.isDropped ||= !request.complete;
        if (!hasCompleteRequest(state)) {
          const {onIdle} = state;
          state.onIdle = undefined;
          onIdle?.();
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
    countRequests: socket => connections.get(socket)?.openRequests.size ?? 0,
    closeBeyond: count => {
      while (connections.size > count && closeIdlest());
    },
    listHeads: () => {
      const heads: UnfinishedHead[] = [];
      for (const [socket, state] of connections) {
        const bytes = computeHeadBytes(socket, state);
        if (bytes > 0) {
          heads.push({socket, bytes});
        }
      }
      return heads;
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
