/**
 * Pool of persistent connections to backend servers. A connection is closed
 * rather than reused if the server may be closing it or has sent unexpected
 * data on it. A request gets none on which its answer could not be told from an
 * earlier one.
 */
import {Agent} from 'node:http';
import type {
  ClientRequest,
  ClientRequestArgs,
  IncomingMessage,
} from 'node:http';
import {connect} from 'node:net';
import type {NetConnectOpts, Socket} from 'node:net';
import {getHistory} from './connection_history.js';

/** Options of {@link createServerConnections}. */
export interface ServerConnectionsOptions {
  /** Timeout for establishing a connection, in milliseconds. */
  connectMs?: number;
  /** Idle time after which a connection is closed, in milliseconds. */
  idleMs?: number;
  /** Called when a connection is established. */
  onOpen?: () => void;
}

/**
 * The connection was not established in time, so nothing was sent. `syscall` is
 * that of the connect errors of node:net.
 */
export class ConnectTimeout extends Error {
  readonly code = 'ETIMEDOUT';
  readonly syscall = 'connect';
}

export interface ServerConnections {
  readonly agent: Agent;
  /** Closes all connections. */
  close(): void;
}

/** Within a region, connecting takes milliseconds, or a second if a packet is lost. */
const DEFAULT_CONNECT_MS = 400;
/** Below the idle timeout of common servers, 5 s. */
const DEFAULT_IDLE_MS = 4000;
/** Fraction of the idle timeout in a server's `Keep-Alive` header after which to close. */
const SERVER_IDLE_RATIO = 0.6;
/** Idle time before the first TCP keep-alive probe. */
const KEEP_ALIVE_PROBE_DELAY_MS = 1000;

/** Internal property that node:http sets on the sockets of an agent. */
interface PooledSocket extends Socket {
  _httpMessage?: (ClientRequest & {res?: IncomingMessage}) | null;
}

const KEEP_ALIVE_TIMEOUT = /timeout=(\d+)/;

/** Reads the idle timeout from the `Keep-Alive` header, in milliseconds. */
function readServerIdleMs(socket: PooledSocket): number | undefined {
  const header = socket._httpMessage?.res?.headers['keep-alive'];
  const match = KEEP_ALIVE_TIMEOUT.exec(
    typeof header === 'string' ? header : '',
  );
  return match ? Number(match[1]) * 1000 : undefined;
}

/** Closes an idle connection on data, which would be taken for the next answer. */
function closeOnUnexpectedData(this: Socket): void {
  this.destroy();
}

/** Servers ignore an empty line before a request. */
const EMPTY_LINE = '\r\n';

/** Whether the end of the connection marks the end of the body. */
export function isCloseDelimited(answer: IncomingMessage): boolean {
  const {headers} = answer;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * Detects a reset at the end of a body without a length. Node.js reports a reset
 * right after data as a regular end; a write to the connection tells them apart,
 * since it fails after a reset.
 */
function checkReset(this: PooledSocket): void {
  const request = this._httpMessage;
  if (!request) {
    this.destroy();
    return;
  }
  if (request.res && isCloseDelimited(request.res) && this.writable) {
    this.write(EMPTY_LINE, error => {
      if (error) {
        resetSockets.add(this);
      }
    });
  }
}

const resetSockets = new WeakSet<Socket>();

/** Whether a connection that ended regularly for Node.js was reset. */
export function isReset(socket: Socket | null): boolean {
  return socket !== null && resetSockets.has(socket);
}

/** Options of a request that uses the agent of the pool. */
export interface ServerRequestOptions extends ClientRequestArgs {
  requestId: string;
}

/** Methods of the agent of node:http that its type declarations lack in part. */
interface AgentHooks {
  addRequest(request: ClientRequest, options: ServerRequestOptions): void;
  keepSocketAlive(socket: Socket): boolean;
  reuseSocket(socket: Socket, request: ClientRequest): void;
}

const baseHooks = Agent.prototype as unknown as AgentHooks;

/** Whether an idle connection may be used for a request. */
function canCarry(socket: Socket, requestId: string): boolean {
  // node:http removes a destroyed connection from the pool only once it is closed.
  return !socket.destroyed && getHistory(socket).canCarry(requestId);
}

class ServerAgent extends Agent implements AgentHooks {
  constructor(
    private readonly poolOptions: Required<ServerConnectionsOptions>,
  ) {
    super({keepAlive: true, scheduling: 'lifo'});
  }

  override createConnection(options: NetConnectOpts): Socket {
    const {connectMs, onOpen} = this.poolOptions;
    const socket = connect({
      ...options,
      noDelay: true,
      allowHalfOpen: true,
    } as NetConnectOpts);
    socket.on('end', checkReset);
    const timer = setTimeout(() => {
      socket.destroy(
        new ConnectTimeout(`no connection within ${connectMs} ms`),
      );
    }, connectMs);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.setKeepAlive(true, KEEP_ALIVE_PROBE_DELAY_MS);
      onOpen();
    });
    socket.once('close', () => clearTimeout(timer));
    return socket;
  }

  addRequest(request: ClientRequest, options: ServerRequestOptions): void {
    const name = this.getName(options);
    const pool = this.freeSockets as Record<string, Socket[] | undefined>;
    const idle = pool[name] ?? [];
    const withheld = idle.filter(
      socket => !canCarry(socket, options.requestId),
    );
    if (withheld.length === 0) {
      baseHooks.addRequest.call(this, request, options);
      return;
    }
    pool[name] = idle.filter(socket => !withheld.includes(socket));
    baseHooks.addRequest.call(this, request, options);
    pool[name] = [...withheld, ...(pool[name] ?? [])];
  }

  keepSocketAlive(socket: Socket): boolean {
    const serverIdleMs = readServerIdleMs(socket as PooledSocket);
    if (
      !getHistory(socket).canCarryMore() ||
      !baseHooks.keepSocketAlive.call(this, socket)
    ) {
      return false;
    }
    const idleMs = Math.min(
      this.poolOptions.idleMs,
      (serverIdleMs ?? Infinity) * SERVER_IDLE_RATIO,
    );
    socket.setTimeout(idleMs);
    socket.on('data', closeOnUnexpectedData);
    socket.resume();
    return true;
  }

  reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.removeListener('data', closeOnUnexpectedData);
    socket.setTimeout(0);
    baseHooks.reuseSocket.call(this, socket, request);
  }
}

export function createServerConnections(
  options: ServerConnectionsOptions = {},
): ServerConnections {
  const agent = new ServerAgent({
    connectMs: options.connectMs ?? DEFAULT_CONNECT_MS,
    idleMs: options.idleMs ?? DEFAULT_IDLE_MS,
    onOpen: options.onOpen ?? (() => undefined),
  });
  return {agent, close: () => agent.destroy()};
}
