/** Connections to backend servers: kept for reuse, but never beyond doubt. */
import {Agent} from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';
import {connect} from 'node:net';
import type {NetConnectOpts, Socket} from 'node:net';

/** Options of {@link createServerConnections}. */
export interface ServerConnectionsOptions {
  /** Longest time until a connection is established, in milliseconds. */
  connectMs?: number;
  /** A connection idle for so long is closed, in milliseconds. */
  idleMs?: number;
  /** Called when a connection is opened. */
  onOpen?: () => void;
}

/** A connect attempt that took too long; nothing was sent. */
export class ConnectTimeout extends Error {
  readonly code = 'ETIMEDOUT';
  readonly syscall = 'connect';
}

/** Connections of all backend servers. */
export interface ServerConnections {
  readonly agent: Agent;
  /** Closes every connection. */
  close(): void;
}

/** Within a region a connection takes milliseconds; a lost packet delays it to a second. */
const DEFAULT_CONNECT_MS = 400;
/** Below the idle timeout of common servers, which is 5 s. */
const DEFAULT_IDLE_MS = 4000;
/** Part of the server's announced idle timeout after which a connection is closed. */
const IDLE_PART = 0.6;
/** Pause before the first keep-alive probe, in milliseconds. */
const PROBE_MS = 1000;

/** What node:http's agent keeps on its sockets. */
interface PooledSocket extends Socket {
  _httpMessage?: (ClientRequest & {res?: IncomingMessage}) | null;
}

const KEEP_ALIVE_HINT = /timeout=(\d+)/;

function readIdleHint(socket: PooledSocket): number | undefined {
  const header = socket._httpMessage?.res?.headers['keep-alive'];
  const match = KEEP_ALIVE_HINT.exec(typeof header === 'string' ? header : '');
  return match ? Number(match[1]) * 1000 : undefined;
}

/** Bytes on an idle connection belong to no request; it is not used again. */
function closeOnSurplus(this: Socket): void {
  this.destroy();
}

/** Sent after the end of a body without a length; servers skip empty lines. */
const EMPTY_LINE = '\r\n';

/** Whether the body of an answer ends with its connection. */
export function isCloseDelimited(answer: IncomingMessage): boolean {
  const {headers} = answer;
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * A reset right after data is reported like a regular end. A write tells them
 * apart: it fails on a connection that was reset.
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

/** Whether a connection that seemed to end regularly was reset. */
export function isReset(socket: Socket | null): boolean {
  return socket !== null && resetSockets.has(socket);
}

/** The hooks of node:http's agent around idle connections. */
interface AgentHooks {
  keepSocketAlive(socket: Socket): boolean;
  reuseSocket(socket: Socket, request: ClientRequest): void;
}

const baseHooks = Agent.prototype as unknown as AgentHooks;

class ServerAgent extends Agent implements AgentHooks {
  constructor(private readonly limits: Required<ServerConnectionsOptions>) {
    super({keepAlive: true, scheduling: 'lifo'});
  }

  override createConnection(options: NetConnectOpts): Socket {
    const {connectMs, onOpen} = this.limits;
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
      socket.setKeepAlive(true, PROBE_MS);
      onOpen();
    });
    socket.once('close', () => clearTimeout(timer));
    return socket;
  }

  keepSocketAlive(socket: Socket): boolean {
    const hint = readIdleHint(socket as PooledSocket);
    if (!baseHooks.keepSocketAlive.call(this, socket)) {
      return false;
    }
    const idleMs = Math.min(this.limits.idleMs, (hint ?? Infinity) * IDLE_PART);
    socket.setTimeout(idleMs);
    socket.on('data', closeOnSurplus);
    socket.resume();
    return true;
  }

  reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.removeListener('data', closeOnSurplus);
    socket.setTimeout(0);
    baseHooks.reuseSocket.call(this, socket, request);
  }
}

/** Creates an empty pool. */
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
