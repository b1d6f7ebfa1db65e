/** HTTP listener for callers, with the limits on its connections and their heads. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {splitAddress} from '@buckthornbeam/shared';
import type {LimitReports} from '../memory/limit_reports.js';
import type {MemoryBudget} from '../memory/memory_budget.js';
import type {CallerLimits} from '../model.js';
import {createCallerConnections} from './caller_connections.js';
import type {CallerConnections} from './caller_connections.js';
import {
  INITIAL_LIMITS,
  canHoldLongHeads,
  computeParserLimit,
} from './caller_limits.js';
import {answerParserError} from './caller_sockets.js';
import {createUnfinishedHeads} from './unfinished_heads.js';

/** Options of {@link createCallerListener}. */
export interface CallerListenerOptions {
  /** `host:port` */
  address: string;
  getLimits: () => CallerLimits;
  memory: MemoryBudget;
  /** Tells how many connections may be open; Infinity by default. */
  getMaximumConnections?: (() => number) | undefined;
  reports?: LimitReports | undefined;
  onRequest: (request: IncomingMessage, response: ServerResponse) => void;
}

export interface CallerListener {
  readonly connections: CallerConnections;
  start(): Promise<void>;
  /** Accepts no more connections and closes idle ones. */
  stop(): void;
}

const HEADER_TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Added to the configured idle timeout, so that callers close idle connections first. */
const IDLE_TIMEOUT_MARGIN_MS = 1000;
/** Length of the accept queue, for bursts of new connections. */
const ACCEPT_BACKLOG = 1024;
/** What arrives between two samples is bounded by the limit of the parser. */
const HEAD_SAMPLE_INTERVAL_MS = 50;

/** node:http reads this property for each new connection. */
type LimitedServer = Server & {maxHeaderSize: number};

export function createCallerListener({
  address,
  getLimits,
  memory,
  getMaximumConnections = () => Infinity,
  reports,
  onRequest,
}: CallerListenerOptions): CallerListener {
  const server = createServer(
    {
      connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_INTERVAL_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    (request, response) => {
      const limits = getLimits();
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
      server.headersTimeout = limits.headerTimeoutMs;
      connections.recordRequest(request, response);
      onRequest(request, response);
    },
  ) as LimitedServer;
  server.keepAliveTimeout =
    INITIAL_LIMITS.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;

  const connections = createCallerConnections(server, {
    getMaximum: getMaximumConnections,
    onFull: () => reports?.record('connections'),
  });
  const heads = createUnfinishedHeads({
    budget: memory,
    listHeads: () => connections.listHeads(),
  });
  let sampleTimer: NodeJS.Timeout | undefined;

  /** Sets the limit of the next connection. */
  function updateParserLimit(): void {
    server.maxHeaderSize = computeParserLimit({
      connections: connections.count(),
      memoryBytes: memory.limitBytes,
      limits: getLimits(),
    });
  }

  function canStopSampling(): boolean {
    return canHoldLongHeads(connections.count(), memory.limitBytes);
  }

  /** Samples while there are many connections only: a small machine has no time for more. */
  function startSampling(): void {
    sampleTimer ??= setInterval(() => {
      heads.sample();
      if (canStopSampling()) {
        stopSampling();
      }
    }, HEAD_SAMPLE_INTERVAL_MS).unref();
  }

  function stopSampling(): void {
    clearInterval(sampleTimer);
    sampleTimer = undefined;
    heads.stop();
  }

  updateParserLimit();
  server.on('connection', (socket: Socket) => {
    updateParserLimit();
    if (!canStopSampling()) {
      startSampling();
    }
    socket.once('close', updateParserLimit);
  });
  server.on('clientError', (error, socket) => {
    // Before that answer, the status would be taken for that of its request.
    connections.waitForAnswers(socket as Socket, () =>
      answerParserError(error, socket as Socket),
    );
  });
  server.once('close', stopSampling);

  return {
    connections,
    start: () =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(
          {...splitAddress(address), backlog: ACCEPT_BACKLOG},
          () => {
            server.removeListener('error', reject);
            resolve();
          },
        );
      }),
    stop: () => {
      server.close();
      connections.closeIdle();
    },
  };
}
