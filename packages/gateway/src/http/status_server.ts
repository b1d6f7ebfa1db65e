/** HTTP servers for readiness, instance addresses, cluster state and metrics. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {
  countTurnPieces,
  createReadPacer,
  splitAddress,
} from '@buckthornbeam/shared';
import {MemoryUse} from '../memory/memory_budget.js';
import type {MemoryBudget} from '../memory/memory_budget.js';
import type {LimitReports} from '../memory/limit_reports.js';
import {createCallerConnections} from './caller_connections.js';
import type {CallerConnections} from './caller_connections.js';
import {waitForClose} from './caller_sockets.js';

export interface StatusAnswer {
  status: number;
  /** JSON by default. */
  contentType?: string;
  body?: string;
}

/** Answers a request by its path, query and method; returns undefined if it does not match. */
export type StatusHandler = (
  url: string,
  method: string,
) => StatusAnswer | Promise<StatusAnswer> | undefined;

/** What is answered at an address. */
export interface StatusRoute {
  address: string;
  handler: StatusHandler;
  /** Connections that the handler needs; Infinity by default. */
  maximumConnections?: number;
}

/** Options of {@link createStatusServers}. */
export interface StatusServersOptions {
  memory: MemoryBudget;
  reports?: LimitReports;
  /** Tells how many further connections all addresses may have; Infinity by default. */
  makeRoom?: () => number;
}

export interface StatusServers {
  start(): Promise<void>;
  stop(): void;
  countConnections(): number;
}

/** Limits for clients of a small machine, which send a few hundred bytes and read at once. */
const MAXIMUM_HEADER_BYTES = 8192;
const HEADER_TIMEOUT_MS = 5000;
const REQUEST_TIMEOUT_MS = 10_000;
/** One read brings 2,000 requests, and the text of the metrics has 20 KB. */
const MAXIMUM_PIPELINED = 4;
/** Lets some 2,000 requests be read in a turn of the event loop, of all connections. */
const PIECES_PER_REQUEST = 8;
const TIMEOUT_CHECK_INTERVAL_MS = 1000;

function openListener(server: Server, address: string): Promise<void> {
  const {host, port} = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}

/** Reads and drops the body of a request. */
function readUnused(request: IncomingMessage, memory: MemoryBudget): void {
  const pacer = createReadPacer(request, {
    onCrowded: () => request.socket.destroy(),
  });
  request.on('data', (bytes: Buffer) => {
    pacer.countPieces(1);
    memory.countRead(bytes.length);
  });
}

/** Counts a body until it is handed over; false if it finds no memory. */
function keepBody(
  body: string,
  {socket}: IncomingMessage,
  response: ServerResponse,
  memory: MemoryBudget,
): boolean {
  const account = memory.openAccount({
    use: MemoryUse.UNREAD,
    isKnown: true,
    evict: () => socket.destroy(),
  });
  if (!account.resize(Buffer.byteLength(body))) {
    account.release();
    return false;
  }
  void waitForClose(socket, response).then(() => account.release());
  return true;
}

interface OpenServer {
  address: string;
  server: Server;
  connections: CallerConnections;
}

function createStatusServer(
  address: string,
  routes: readonly StatusRoute[],
  {memory, reports, makeRoom = () => Infinity}: StatusServersOptions,
): OpenServer {
  const limits =
    memory.limitBytes === Infinity
      ? {}
      : {
          maxHeaderSize: MAXIMUM_HEADER_BYTES,
          headersTimeout: HEADER_TIMEOUT_MS,
          requestTimeout: REQUEST_TIMEOUT_MS,
          connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        };
  const maximumRequests =
    memory.limitBytes === Infinity ? Infinity : MAXIMUM_PIPELINED;
  const server = createServer(limits, (request, response) => {
    const {socket} = request;
    countTurnPieces(PIECES_PER_REQUEST);
    if (connections.countRequests(socket) >= maximumRequests) {
      reports?.record('status_requests');
      socket.destroy();
      return;
    }
    connections.recordRequest(request, response);
    readUnused(request, memory);
    const {url = '/', method = 'GET'} = request;
    const matched = routes
      .map(({handler}) => handler(url, method))
      .find(item => item);
    Promise.resolve(matched ?? {status: 404})
      .catch(() => ({status: 500}) as StatusAnswer)
      .then(({status, contentType = 'application/json', body = ''}) => {
        if (body !== '' && !keepBody(body, request, response, memory)) {
          response.writeHead(503).end();
          return;
        }
        response.writeHead(status, {'content-type': contentType});
        response.end(body);
      })
      // Only writing can still fail, because the client has disconnected.
      .catch(() => response.destroy());
  });
  if (memory.limitBytes !== Infinity) {
    // Closes connections whose clients do not read their answer.
    server.timeout = REQUEST_TIMEOUT_MS;
  }
  const maximum = routes.reduce(
    (total, {maximumConnections = Infinity}) => total + maximumConnections,
    0,
  );
  const connections: CallerConnections = createCallerConnections(server, {
    getMaximum: () => Math.min(maximum, connections.count() + makeRoom()),
    onFull: () => reports?.record('status_connections'),
  });
  return {address, server, connections};
}

/** Creates one server for each distinct address; handlers with the same address share it. */
export function createStatusServers(
  routes: readonly StatusRoute[],
  options: StatusServersOptions,
): StatusServers {
  const byAddress = new Map<string, StatusRoute[]>();
  for (const route of routes) {
    byAddress.set(route.address, [
      ...(byAddress.get(route.address) ?? []),
      route,
    ]);
  }
  const servers = [...byAddress].map(([address, routesOfAddress]) =>
    createStatusServer(address, routesOfAddress, options),
  );
  return {
    start: async () => {
      await Promise.all(
        servers.map(({address, server}) => openListener(server, address)),
      );
    },
    stop: () => {
      for (const {server} of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
    countConnections: () =>
      servers.reduce((total, {connections}) => total + connections.count(), 0),
  };
}
