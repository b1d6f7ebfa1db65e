/** Task that owns the callers' connections. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {EnginePlacement} from '@buckthornbeam/decisions';
import {RouterError, splitAddress, toRouterError} from '@buckthornbeam/shared';
import type {Clock, LogFields, Logger} from '@buckthornbeam/shared';
import type {GatewayMetrics} from '../metrics.js';
import type {CallerLimits, RequestFacts} from '../model.js';
import type {CallerDialect} from '../ports.js';
import {createCallerAnswer} from '../relay/caller_answer.js';
import type {CallerAnswer} from '../relay/caller_answer.js';
import {relayRequest} from '../relay/request_relay.js';
import type {
  AcceptedRequest,
  RelayContext,
  RelayReport,
} from '../relay/request_relay.js';
import type {GrantedAccess} from './access.js';
import {readBody} from './request_body.js';

/** Options of {@link createCallerFront}. */
export interface CallerFrontOptions {
  /** `host:port` */
  address: string;
  dialect: CallerDialect;
  relay: RelayContext;
  /** @throws RouterError if the request is not allowed */
  grantAccess: (facts: RequestFacts) => Promise<GrantedAccess>;
  getLimits: () => CallerLimits | undefined;
  /** Version and age of the knowledge that decides, for the log. */
  describeKnowledge: () => LogFields;
  maximumOpenRequests: number;
  maximumHeldBytes: number;
  clock: Clock;
  logger: Logger;
  metrics: GatewayMetrics;
}

/** The task. */
export interface CallerFront {
  start(): Promise<void>;
  countOpen(): number;
  /** Ends every connection with its next answer from now on. */
  beginDrain(): void;
  /** Turns new requests away. */
  refuseNew(): void;
  closeIdle(): void;
  stop(): void;
}

/** Limits before the first configuration. */
const INITIAL_LIMITS: CallerLimits = {
  maximumHeaderBytes: 16_384,
  maximumBodyBytes: 4_194_304,
  headerTimeoutMs: 5000,
  idleTimeoutMs: 15_000,
};
/** The parser takes more than any configured limit, so that the limit decides. */
const PARSER_HEADER_BYTES = 65_536;
/** How often the time of headers is checked, in milliseconds. */
const HEADER_CHECK_MS = 500;
/** Connections stay open a little longer than callers may leave them idle, in milliseconds. */
const IDLE_MARGIN_MS = 1000;
/** Connections waiting to be accepted: a crowd of callers may come at once. */
const BACKLOG = 1024;
/** When callers are to come back who were turned away by a stopping instance, in milliseconds. */
const LEAVING_RETRY_MS = 50;
const FULL_RETRY_MS = 300;

function countHeaderBytes(headers: readonly string[]): number {
  let bytes = 0;
  for (const text of headers) {
    bytes += text.length + 2;
  }
  return bytes;
}

function describePlacement(placement: EnginePlacement | undefined): LogFields {
  return placement
    ? {
        home: placement.isHome,
        unreadTokens: placement.unreadTokens,
        copiedTokens: placement.copiedTokens,
        expectedReadMs: Math.round(placement.expectedReadMs),
        expectedEndMs: Math.round(placement.expectedEndMs),
      }
    : {};
}

/** Answers what the parser rejects; the connection ends. */
function answerMalformed(error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy();
    return;
  }
  const statuses: Readonly<Record<string, string>> = {
    HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
    ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  };
  const status = statuses[error.code ?? ''] ?? '400 Bad Request';
  socket.end(
    `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
  );
}

/** Creates a front that does not listen yet. */
export function createCallerFront(options: CallerFrontOptions): CallerFront {
  const {dialect, relay, clock, logger, metrics} = options;
  let open = 0;
  let heldBytes = 0;
  let isDraining = false;
  let isRefusing = false;

  function getLimits(): CallerLimits {
    return options.getLimits() ?? INITIAL_LIMITS;
  }

  function assertHeaders(request: IncomingMessage): void {
    const {maximumHeaderBytes} = getLimits();
    const bytes = countHeaderBytes(request.rawHeaders);
    if (bytes > maximumHeaderBytes) {
      throw new RouterError('headers_too_large', `${bytes} bytes of headers`);
    }
  }

  function assertRoom(): void {
    if (isRefusing) {
      throw new RouterError('leaving', 'the instance is stopping', {
        retryAfterMs: LEAVING_RETRY_MS,
      });
    }
    const isFull =
      open > options.maximumOpenRequests ||
      heldBytes > options.maximumHeldBytes;
    if (isFull) {
      throw new RouterError('entry_full', `${open} requests are open`, {
        retryAfterMs: FULL_RETRY_MS,
      });
    }
  }

  async function acceptRequest(
    request: IncomingMessage,
    left: AbortSignal,
    receivedAt: number,
    log: RequestLog,
  ): Promise<AcceptedRequest> {
    assertHeaders(request);
    const {method = 'GET', url = '/', rawHeaders} = request;
    const facts = dialect.readRequest(url, rawHeaders);
    log.facts = facts;
    const {maximumBodyBytes, headerTimeoutMs} = getLimits();
    const body = await readBody(request, {
      maximumBytes: maximumBodyBytes,
      pauseMs: headerTimeoutMs,
    });
    heldBytes += body.length;
    log.heldBytes = body.length;
    assertRoom();
    const {route, customer} = await options.grantAccess(facts);
    log.route = route.name;
    log.customer = customer?.name;
    log.priority = customer?.priority ?? route.priority;
    return {
      facts,
      route,
      customer,
      method,
      url,
      headers: rawHeaders,
      body,
      receivedAt,
      left,
    };
  }

  interface RequestLog {
    facts?: RequestFacts;
    route?: string;
    customer?: string | undefined;
    priority?: number;
    heldBytes?: number;
    report?: RelayReport;
    error?: RouterError;
  }

  function logRequest(
    log: RequestLog,
    answer: CallerAnswer,
    receivedAt: number,
    hasLeft: boolean,
  ): void {
    const totalMs = clock.now() - receivedAt;
    const {report} = log;
    const error = log.error ?? report?.error;
    const route = log.route ?? 'none';
    const code = hasLeft ? 'cancelled' : (error?.code ?? 'ok');
    metrics.countRequest(route, answer.status, code);
    metrics.observeDuration(route, totalMs);
    report?.reasons.forEach(reason => metrics.countAttempt(reason));
    if (report?.firstByteMs !== undefined) {
      metrics.observeFirstByte(route, report.firstByteMs);
    }
    logger.info('request', {
      id: log.facts?.id,
      route,
      customer: log.customer,
      priority: log.priority,
      status: answer.status,
      code,
      reason: error?.message,
      retryAfterMs: error?.retryAfterMs,
      servers: report?.servers.join(','),
      attempts: report?.reasons.join(','),
      firstByteMs: report?.firstByteMs && Math.round(report.firstByteMs),
      totalMs: Math.round(totalMs),
      deadlineMs: log.facts?.deadlineMs,
      promptTokens: log.facts?.generation?.promptTokens,
      ...describePlacement(report?.placement),
      ...options.describeKnowledge(),
    });
  }

  async function serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const receivedAt = clock.now();
    const leaving = new AbortController();
    const log: RequestLog = {};
    const answer = createCallerAnswer({response, isLast: () => isDraining});
    open += 1;
    response.on('close', () => {
      if (!response.writableFinished) {
        leaving.abort();
      }
    });
    try {
      const accepted = await acceptRequest(
        request,
        leaving.signal,
        receivedAt,
        log,
      );
      log.report = await relayRequest(accepted, answer, relay);
    } catch (error) {
      log.error = toRouterError(error);
      if (!request.complete) {
        // The rest of the body would be taken for the next request.
        response.shouldKeepAlive = false;
      }
      answer.sendError(log.error);
    } finally {
      open -= 1;
      heldBytes -= log.heldBytes ?? 0;
      logRequest(log, answer, receivedAt, leaving.signal.aborted);
    }
  }

  const server: Server = createServer(
    {
      maxHeaderSize: PARSER_HEADER_BYTES,
      connectionsCheckingInterval: HEADER_CHECK_MS,
      requestTimeout: 0,
      noDelay: true,
    },
    (request, response) => {
      const limits = getLimits();
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
      server.headersTimeout = limits.headerTimeoutMs;
      void serveRequest(request, response);
    },
  );
  server.on('clientError', (error, socket) =>
    answerMalformed(error, socket as Socket),
  );
  server.keepAliveTimeout = INITIAL_LIMITS.idleTimeoutMs + IDLE_MARGIN_MS;

  return {
    start: () =>
      new Promise((resolve, reject) => {
        const address = splitAddress(options.address);
        server.once('error', reject);
        server.listen({...address, backlog: BACKLOG}, () => {
          server.removeListener('error', reject);
          resolve();
        });
      }),
    countOpen: () => open,
    beginDrain: () => {
      isDraining = true;
    },
    refuseNew: () => {
      isRefusing = true;
    },
    closeIdle: () => server.closeIdleConnections(),
    stop: () => {
      server.close();
      server.closeIdleConnections();
    },
  };
}
