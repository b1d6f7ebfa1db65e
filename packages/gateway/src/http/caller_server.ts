/** HTTP server for callers: accepts requests, enforces limits and relays them. */
import {setMaxListeners} from 'node:events';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {RouterError, toRouterError} from '@buckthornbeam/shared';
import type {Clock, LogFields, Logger} from '@buckthornbeam/shared';
import type {GatewayMetrics} from '../metrics.js';
import {createMemoryBudget} from '../memory/memory_budget.js';
import type {MemoryBudget} from '../memory/memory_budget.js';
import {createRequestMemory} from '../memory/request_memory.js';
import type {RequestMemory} from '../memory/request_memory.js';
import type {LimitReports} from '../memory/limit_reports.js';
import type {CallerLimits, RequestMetadata, Route} from '../model.js';
import type {CallerDialect} from '../ports.js';
import {createCallerAnswer} from '../relay/caller_answer.js';
import type {CallerAnswer} from '../relay/caller_answer.js';
import {isSuccess} from '../relay/attempt.js';
import {relayRequest} from '../relay/request_relay.js';
import {canWriteHeaders} from '../relay/header_check.js';
import type {AcceptedRequest, RelayContext} from '../relay/request_relay.js';
import {HeadAccess} from './access.js';
import type {GrantedAccess} from './access.js';
import {INITIAL_LIMITS, assertHeaderSize} from './caller_limits.js';
import {createCallerListener} from './caller_listener.js';
import {refuseRest, waitForClose} from './caller_sockets.js';
import {readBody} from './request_body.js';
import {
  describeInterrupted,
  describeRequest,
  getPhase,
  observeRequest,
} from './request_log.js';
import type {PhaseCounts, RequestLog} from './request_log.js';
import {createStopAdmission} from './stop_admission.js';

export interface CallerServerOptions {
  /** `host:port` */
  address: string;
  dialect: CallerDialect;
  relay: Omit<RelayContext, 'stopSignal'>;
  /** @throws RouterError if the request is not allowed */
  grantAccess: (metadata: RequestMetadata) => Promise<GrantedAccess>;
  getLimits: () => CallerLimits | undefined;
  /** Log fields with the version and age of the cluster state. */
  describeClusterState: () => LogFields;
  maximumOpenRequests: number;
  /** Requests relayed at the same time; Infinity by default. */
  maximumRelayedRequests?: number;
  /** Limit on the request bodies in memory. */
  maximumHeldBytes: number;
  /** Tells from the head of a request what its key is; undecided by default. */
  checkHead?: (metadata: RequestMetadata) => HeadAccess;
  /** Memory for bodies and responses; without a limit by default. */
  memory?: MemoryBudget;
  /** Tells how many connections may be open; Infinity by default. */
  getMaximumConnections?: () => number;
  reports?: LimitReports;
  clock: Clock;
  logger: Logger;
  metrics: GatewayMetrics;
}

export interface CallerServer {
  start(): Promise<void>;
  /** Counts requests whose answer is not yet handed over to the last byte. */
  countOpen(): number;
  countConnections(): number;
  /** Closes connections without a request until this many are open. */
  closeConnectionsBeyond(count: number): void;
  /**
   * Closes each connection after its next answer. A request is refused unless it can
   * be expected to end before the time of the clock at which open requests end.
   */
  beginDrain(requestsEndAt: number): void;
  /** Answers new requests with the error `leaving`. */
  refuseNewRequests(): void;
  /**
   * Gives all open requests their last answer; streams that have begun are cut. Returns
   * the number of these requests by phase.
   */
  endOpenRequests(): PhaseCounts;
  closeIdleConnections(): void;
  stop(): void;
}

interface OpenRequest {
  log: RequestLog;
  answer: CallerAnswer;
  response: ServerResponse;
  /** Memory of the body and of the response. */
  memory: RequestMemory;
}

/** Sent with the error `leaving` of a stopping instance. */
const SHUTDOWN_RETRY_AFTER_MS = 50;
const OVERLOAD_RETRY_AFTER_MS = 300;
/** Bounds the log lines of one stop. */
const MAXIMUM_INTERRUPTED_LINES = 50;

/** Creates a server; it does not listen before `start` is called. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const {dialect, relay, clock, logger, metrics, reports} = options;
  const memory = options.memory ?? createMemoryBudget({clock});
  const openRequests = new Set<OpenRequest>();
  let bufferedBytes = 0;
  let relayedRequests = 0;
  let isRefusing = false;
  let stopStartedAt: number | undefined;
  /** When open requests end, in local time; Infinity while the instance does not stop. */
  let requestsEndAt = Infinity;
  const admission = createStopAdmission();
  const stopping = new AbortController();
  // Each open request adds listeners.
  setMaxListeners(0, stopping.signal);

  function getLimits(): CallerLimits {
    return options.getLimits() ?? INITIAL_LIMITS;
  }

  function buildLeavingError(): RouterError {
    return new RouterError('leaving', 'the instance is stopping', {
      retryAfterMs: SHUTDOWN_RETRY_AFTER_MS,
    });
  }

  /** Refuses a request that could be cut by the stop. */
  function assertCanEnd(
    route: Route,
    {deadlineMs = Infinity}: RequestMetadata,
    receivedAt: number,
  ): void {
    if (stopStartedAt === undefined) {
      return;
    }
    const now = clock.now();
    const openMs = [...openRequests]
      .filter(({log}) => log.route === route.name)
      .map(({log}) => now - log.receivedAt);
    const times = {
      now,
      deadlineAt: receivedAt + Math.min(deadlineMs, route.timeoutMs),
      requestsEndAt,
      longestOpenMs: Math.max(0, ...openMs),
    };
    if (!admission.canAccept(route, times)) {
      throw buildLeavingError();
    }
  }

  function assertCapacity(): void {
    if (isRefusing) {
      throw buildLeavingError();
    }
    const {maximumRelayedRequests = Infinity} = options;
    const isFull =
      openRequests.size > options.maximumOpenRequests ||
      relayedRequests >= maximumRelayedRequests ||
      bufferedBytes > options.maximumHeldBytes;
    if (isFull) {
      reports?.record('requests');
      throw new RouterError(
        'entry_full',
        `${openRequests.size} requests are open`,
        {retryAfterMs: OVERLOAD_RETRY_AFTER_MS},
      );
    }
  }

  async function acceptRequest(
    request: IncomingMessage,
    callerGone: AbortSignal,
    {log, memory: requestMemory}: OpenRequest,
  ): Promise<AcceptedRequest> {
    const limits = getLimits();
    assertHeaderSize(request, limits);
    const {method = 'GET', url = '/', rawHeaders} = request;
    if (!canWriteHeaders(rawHeaders)) {
      throw new RouterError('malformed_http', 'a header field is not valid');
    }
    const metadata = dialect.readRequest(url, rawHeaders);
    log.metadata = metadata;
    const {maximumBodyBytes, headerTimeoutMs} = limits;
    const headAccess = options.checkHead?.(metadata) ?? HeadAccess.UNDECIDED;
    requestMemory.setKnown(headAccess === HeadAccess.KNOWN_KEY);
    const body = await readBody(request, {
      maximumBytes: maximumBodyBytes,
      idleTimeoutMs: headerTimeoutMs,
      timeLimitMs: metadata.deadlineMs,
      stopSignal: stopping.signal,
      isDiscarded: headAccess === HeadAccess.REFUSED,
      openAccount: evict => requestMemory.openBody(evict),
      countRead: bytes => memory.countRead(bytes),
      onCrowded: () => reports?.record('small_pieces'),
    });
    requestMemory.markComplete();
    bufferedBytes += body.length;
    log.bodyBytes = body.length;
    assertCapacity();
    const {route, customer, urgency} = await options.grantAccess(metadata);
    if (headAccess === HeadAccess.REFUSED) {
      throw new RouterError(
        'stale_knowledge',
        'the key came into force while the request was received',
        {retryAfterMs: OVERLOAD_RETRY_AFTER_MS},
      );
    }
    assertCanEnd(route, metadata, log.receivedAt);
    log.route = route.name;
    log.customer = customer?.name;
    log.priority = customer?.priority ?? route.priority;
    log.routePriority = route.priority;
    log.urgency = urgency.level;
    return {
      metadata,
      route,
      customer,
      urgency,
      method,
      url,
      headers: rawHeaders,
      body,
      receivedAt: log.receivedAt,
      disconnectSignal: callerGone,
      memory: requestMemory,
    };
  }

  async function relayAccepted(
    request: IncomingMessage,
    openRequest: OpenRequest,
    callerGone: AbortSignal,
  ): Promise<void> {
    const {log, answer} = openRequest;
    const accepted = await acceptRequest(request, callerGone, openRequest);
    const relayedAt = clock.now();
    relayedRequests += 1;
    log.report = await relayRequest(accepted, answer, {
      ...relay,
      stopSignal: stopping.signal,
    }).finally(() => {
      relayedRequests -= 1;
    });
    // Other failures, and callers that left, end before the answer would.
    const isMeasured = log.report.error
      ? log.report.error.code === 'deadline_passed'
      : isSuccess(answer.status) && !callerGone.aborted;
    if (isMeasured) {
      admission.observe(accepted.route, clock.now() - relayedAt);
    }
  }

  /** Answers with an error; the rest of a body that is still sent is dropped. */
  function refuseRequest(
    request: IncomingMessage,
    {answer, response}: OpenRequest,
    error: RouterError,
  ): void {
    if (!request.complete) {
      const {maximumBodyBytes} = getLimits();
      refuseRest(request, response, {
        error,
        maximumBytes: maximumBodyBytes,
        countRead: bytes => memory.countRead(bytes),
      });
    }
    answer.sendError(error);
  }

  function logRequest(
    log: RequestLog,
    answer: CallerAnswer,
    isCallerGone: boolean,
  ): void {
    const end = {now: clock.now(), isCallerGone};
    observeRequest(metrics, log, answer, end);
    logger.info('request', {
      ...describeRequest(log, answer, end),
      // Time since the stop signal; absent before it.
      stoppingMs: stopStartedAt && Math.round(end.now - stopStartedAt),
      ...options.describeClusterState(),
    });
  }

  function logInterrupted(): PhaseCounts {
    const now = clock.now();
    const counts: PhaseCounts = {};
    for (const {log} of openRequests) {
      const phase = getPhase(log);
      counts[phase] = (counts[phase] ?? 0) + 1;
      metrics.countInterrupted(phase);
    }
    for (const {log, answer, response} of [...openRequests].slice(
      0,
      MAXIMUM_INTERRUPTED_LINES,
    )) {
      logger.warn(
        'request_interrupted',
        describeInterrupted(
          log,
          {status: answer.status, waitingBytes: response.writableLength},
          now,
        ),
      );
    }
    return counts;
  }

  async function serveRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const disconnect = new AbortController();
    const log: RequestLog = {receivedAt: clock.now()};
    const requestMemory = createRequestMemory({
      budget: memory,
      closeResponse: () => response.destroy(),
    });
    const answer = createCallerAnswer({
      response,
      mustCloseConnection: () => requestsEndAt !== Infinity,
      onBuffered: (bytes, isComplete) =>
        requestMemory.setUnread(bytes, isComplete),
    });
    const openRequest = {log, answer, response, memory: requestMemory};
    openRequests.add(openRequest);
    response.on('close', () => {
      if (!response.writableFinished) {
        disconnect.abort();
      }
    });
    try {
      await relayAccepted(request, openRequest, disconnect.signal);
    } catch (error) {
      log.error = toRouterError(error);
      refuseRequest(request, openRequest, log.error);
    } finally {
      bufferedBytes -= log.bodyBytes ?? 0;
      requestMemory.endRelay();
      logRequest(log, answer, disconnect.signal.aborted);
      // The last bytes may still wait for a slow caller.
      await waitForClose(request.socket, response);
      requestMemory.release();
      openRequests.delete(openRequest);
    }
  }

  const listener = createCallerListener({
    address: options.address,
    getLimits,
    memory,
    getMaximumConnections: options.getMaximumConnections,
    reports,
    onRequest: (request, response) => void serveRequest(request, response),
  });

  return {
    start: () => listener.start(),
    countOpen: () => openRequests.size,
    countConnections: () => listener.connections.count(),
    closeConnectionsBeyond: count => listener.connections.closeBeyond(count),
    beginDrain: endAt => {
      stopStartedAt ??= clock.now();
      requestsEndAt = endAt;
    },
    refuseNewRequests: () => {
      isRefusing = true;
    },
    endOpenRequests: () => {
      const counts = logInterrupted();
      stopping.abort();
      return counts;
    },
    closeIdleConnections: () => listener.connections.closeIdle(),
    stop: () => listener.stop(),
  };
}
