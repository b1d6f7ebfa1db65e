/** Logs and counts one request of a caller when it ends, or when a stop interrupts it. */
import type {EnginePlacement} from '@buckthornbeam/decisions';
import type {LogFields, RouterError} from '@buckthornbeam/shared';
import type {GatewayMetrics} from '../metrics.js';
import type {RequestMetadata} from '../model.js';
import type {RelayReport} from '../relay/relay_report.js';

/** What is known of a request so far. */
export interface RequestLog {
  /** Time of the clock at which the headers arrived, in milliseconds. */
  receivedAt: number;
  metadata?: RequestMetadata;
  /** Set once the request is allowed. */
  route?: string;
  customer?: string | undefined;
  priority?: number;
  routePriority?: number;
  urgency?: number;
  /** Set once the body is complete. */
  bodyBytes?: number;
  /** Set once the relay has ended. */
  report?: RelayReport;
  error?: RouterError;
}

/** State of the answer to the caller. */
export interface AnswerState {
  /** Status that was sent; 0 before the head is sent. */
  status: number;
  /** Bytes that the connection of the caller has not yet taken. */
  waitingBytes: number;
}

/** How far a request has come. */
export const RequestPhase = {
  BODY: 'body',
  ACCESS: 'access',
  RELAY: 'relay',
  /** The last bytes wait for the caller. */
  FLUSH: 'flush',
} as const;
export type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

/** Numbers of requests; phases without any are missing. */
export type PhaseCounts = Partial<Record<RequestPhase, number>>;

/** Tells how far an open request has come. */
export function getPhase({
  bodyBytes,
  route,
  report,
  error,
}: RequestLog): RequestPhase {
  if (report || error) {
    return RequestPhase.FLUSH;
  }
  if (route !== undefined) {
    return RequestPhase.RELAY;
  }
  return bodyBytes === undefined ? RequestPhase.BODY : RequestPhase.ACCESS;
}

function describePlacement(placement: EnginePlacement | undefined): LogFields {
  return placement
    ? {
        home: placement.isPreferred,
        unreadTokens: placement.prefillTokens,
        copiedTokens: placement.copiedTokens,
        expectedReadMs: Math.round(placement.expectedPrefillMs),
        expectedEndMs: Math.round(placement.expectedEndMs),
      }
    : {};
}

/** Code of the outcome, for the log and metrics. */
export function getOutcomeCode(log: RequestLog, isCallerGone: boolean): string {
  const error = log.error ?? log.report?.error;
  return isCallerGone ? 'cancelled' : (error?.code ?? 'ok');
}

/** Describes a request that has ended. */
export function describeRequest(
  log: RequestLog,
  {status}: Pick<AnswerState, 'status'>,
  {now, isCallerGone}: {now: number; isCallerGone: boolean},
): LogFields {
  const {report} = log;
  const error = log.error ?? report?.error;
  return {
    id: log.metadata?.id,
    route: log.route ?? 'none',
    customer: log.customer,
    priority: log.priority,
    routePriority: log.routePriority,
    urgency: log.urgency,
    status,
    code: getOutcomeCode(log, isCallerGone),
    reason: error?.message,
    retryAfterMs: error?.retryAfterMs,
    servers: report?.servers.join(','),
    attempts: report?.reasons.join(','),
    sentMs: report?.sentMs.map(ms => Math.round(ms)).join(','),
    connections: report?.connections.join(','),
    diverted: report?.isDiverted || undefined,
    overShare: report?.isOverShare || undefined,
    waitedMs: report?.waitedMs && Math.round(report.waitedMs),
    waitReason: report?.waitReason,
    firstByteMs: report?.firstByteMs && Math.round(report.firstByteMs),
    totalMs: Math.round(now - log.receivedAt),
    deadlineMs: log.metadata?.deadlineMs,
    promptTokens: log.metadata?.generation?.promptTokens,
    loadAgeMs:
      report?.loadAgeMs === undefined
        ? undefined
        : Math.round(report.loadAgeMs),
    ...describePlacement(report?.placement),
  };
}

/** Describes a request that a stop interrupts. */
export function describeInterrupted(
  log: RequestLog,
  {status, waitingBytes}: AnswerState,
  now: number,
): LogFields {
  return {
    id: log.metadata?.id,
    route: log.route ?? 'none',
    phase: getPhase(log),
    ageMs: Math.round(now - log.receivedAt),
    status,
    waitingBytes,
    deadlineMs: log.metadata?.deadlineMs,
  };
}

export function observeRequest(
  metrics: GatewayMetrics,
  log: RequestLog,
  {status}: Pick<AnswerState, 'status'>,
  {now, isCallerGone}: {now: number; isCallerGone: boolean},
): void {
  const {report} = log;
  const route = log.route ?? 'none';
  metrics.countRequest(route, status, getOutcomeCode(log, isCallerGone));
  metrics.observeDuration(route, now - log.receivedAt);
  report?.reasons.forEach(reason => metrics.countAttempt(reason));
  if (report?.isDiverted) {
    metrics.countDiverted();
  }
  if (report?.loadAgeMs !== undefined) {
    metrics.observeLoadAge(report.loadAgeMs);
  }
  if (report?.isOverShare && log.customer !== undefined) {
    metrics.countShareRefusal(log.customer);
  }
  if (report?.firstByteMs !== undefined) {
    metrics.observeFirstByte(route, report.firstByteMs);
  }
}
