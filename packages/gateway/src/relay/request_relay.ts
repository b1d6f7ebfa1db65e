/**
 * Carries one request from its caller to a backend server and back, over as
 * many attempts as its route, its kind and the budget allow.
 */
import {ServerOutcome} from '@buckthornbeam/decisions';
import type {EnginePlacement} from '@buckthornbeam/decisions';
import {Outcome, RouterError, waitFor} from '@buckthornbeam/shared';
import type {Clock} from '@buckthornbeam/shared';
import {RouteKind} from '../model.js';
import type {Customer, RequestFacts, Route} from '../model.js';
import type {RawHeaders, ServerDialect} from '../ports.js';
import type {RepeatBudgets} from '../state/repeat_budgets.js';
import type {ServerActivity} from '../state/server_activity.js';
import type {
  SelectedServer,
  ServerSelection,
} from '../state/server_selection.js';
import {AttemptEnd, isSuccess, startAttempt} from './attempt.js';
import type {Attempt, AttemptResult, StreamSink} from './attempt.js';
import type {CallerAnswer} from './caller_answer.js';
import {computeRetryAfter} from './retry_after.js';
import type {ServerConnections} from './server_connections.js';

/** What all requests of an instance share. */
export interface RelayContext {
  clock: Clock;
  dialect: ServerDialect;
  connections: ServerConnections;
  selection: ServerSelection;
  activity: ServerActivity;
  budgets: RepeatBudgets;
  /** Largest answer that is kept until it is whole, in bytes. */
  maximumAnswerBytes: number;
  random: () => number;
}

/** A request whose body is whole and whose route and customer are known. */
export interface AcceptedRequest {
  facts: RequestFacts;
  route: Route;
  customer: Customer | undefined;
  method: string;
  url: string;
  headers: RawHeaders;
  body: Buffer;
  /** When its headers arrived, in milliseconds of the clock. */
  receivedAt: number;
  /** Aborted when the caller leaves. */
  left: AbortSignal;
}

/** What became of a request, for the log. */
export interface RelayReport {
  /** Servers tried, in order. */
  servers: string[];
  /** How each attempt ended. */
  reasons: string[];
  /** How the last generation was placed. */
  placement: EnginePlacement | undefined;
  /** Time until the first event or the whole answer, in milliseconds. */
  firstByteMs: number | undefined;
  error: RouterError | undefined;
}

/** A server stops at the deadline by itself; its answer is on its way then, in milliseconds. */
const ANSWER_GRACE_MS = 80;
/** Attempts with less time left than this are not begun, in milliseconds. */
const MINIMUM_LEFT_MS = 15;
/** Part of the target for which a request waits while no server can take it. */
const WAIT_PART = 0.25;
/** Shortest such wait: a few rounds of a look for a server, in milliseconds. */
const MINIMUM_WAIT_MS = 40;
/** Pause between two looks for a server, in milliseconds. */
const LOOK_MS = 10;
/** Part of the time left that a repeatable request gives its first server. */
const FIRST_ATTEMPT_PART = 0.4;
/** Interval of the look for silent servers, in milliseconds. */
const WATCH_MS = 100;
/** Least urgent rank that servers know. */
const LOWEST_URGENCY = 9;
/** Status from which on a server's answer is its own failure. */
const SERVER_FAILURE = 500;

/** Whether the request may run on more than one server. */
function isRepeatable({route}: AcceptedRequest): boolean {
  return (
    route.kind === RouteKind.SAFE ||
    (route.kind === RouteKind.STREAM && route.isResumable)
  );
}

/** Relays a request until its caller has an answer or has left. */
export async function relayRequest(
  request: AcceptedRequest,
  answer: CallerAnswer,
  context: RelayContext,
): Promise<RelayReport> {
  const {clock, selection, activity, budgets} = context;
  const {route, facts, receivedAt, left} = request;
  const isStream = route.kind === RouteKind.STREAM;
  const priority = request.customer?.priority ?? route.priority;
  const waitMs = Math.min(facts.deadlineMs ?? Infinity, route.timeoutMs);
  const endsAt = receivedAt + waitMs;
  const excluded = new Set<string>();
  /** Servers on which the request may have run. */
  let ranOn = 0;
  let lastEventId = facts.lastEventId;
  let lastFailure: AttemptResult | undefined;
  const report: RelayReport = {
    servers: [],
    reasons: [],
    placement: undefined,
    firstByteMs: undefined,
    error: undefined,
  };

  function markFirstByte(): void {
    report.firstByteMs ??= clock.now() - receivedAt;
  }

  function refuse(
    code: 'overloaded' | 'no_server' | 'server_refused' | 'server_unreachable',
    detail: string,
  ): RouterError {
    const leftMs = Math.max(0, endsAt - clock.now());
    if (ranOn > 0) {
      return new RouterError('server_unreachable', detail, {
        outcome: Outcome.UNKNOWN,
      });
    }
    return new RouterError(
      code === 'server_unreachable' ? 'no_server' : code,
      detail,
      {retryAfterMs: computeRetryAfter({leftMs, random: context.random})},
    );
  }

  /** Waits a little for a server that can take the request. */
  async function waitForServer(): Promise<SelectedServer | undefined> {
    const patienceMs = Math.max(
      MINIMUM_WAIT_MS,
      route.targetLatencyMs * WAIT_PART,
    );
    const giveUpAt = Math.min(endsAt, clock.now() + patienceMs);
    for (;;) {
      const now = clock.now();
      const selected = selection.select(
        route,
        facts,
        excluded,
        {
          targetMs: route.targetLatencyMs,
          pauseMs: route.eventPauseMs,
          leftMs: endsAt - now,
          priority,
        },
        now,
      );
      if (selected || left.aborted || clock.now() + LOOK_MS > giveUpAt) {
        return selected;
      }
      await waitFor(LOOK_MS, left);
    }
  }

  function createSink(
    selected: SelectedServer,
    state: {begun?: () => void},
  ): StreamSink {
    return {
      acceptHead: head => {
        markFirstByte();
        selected.markRead(clock.now());
        state.begun = activity.beginAnswer(selected.server.id, clock.now());
        if (!answer.hasBegun) {
          answer.beginStream(head);
        }
      },
      acceptEvent: event => {
        lastEventId = event.id ?? lastEventId;
        return answer.sendPart(event.bytes);
      },
    };
  }

  /** Gives up an attempt whose time is over or whose server went silent. */
  function watchAttempt(
    attempt: Attempt,
    selected: SelectedServer,
    canMoveOn: boolean,
  ): () => void {
    const startedAt = clock.now();
    const firstLimit =
      route.kind === RouteKind.SAFE && canMoveOn
        ? startedAt + (endsAt - startedAt) * FIRST_ATTEMPT_PART
        : Infinity;
    const limit = Math.min(firstLimit, endsAt + ANSWER_GRACE_MS);
    const timer = setTimeout(
      () => attempt.abort(limit === firstLimit ? 'slow_server' : 'deadline'),
      Math.max(0, limit - startedAt),
    );
    const watch = setInterval(() => {
      if (
        canMoveOn &&
        activity.isUnresponsive(selected.server.id, clock.now())
      ) {
        attempt.abort('silent_server');
      }
    }, WATCH_MS);
    const cancel = () => attempt.abort('caller_left');
    left.addEventListener('abort', cancel);
    return () => {
      clearTimeout(timer);
      clearInterval(watch);
      left.removeEventListener('abort', cancel);
    };
  }

  async function runAttempt(selected: SelectedServer): Promise<AttemptResult> {
    const {server, service, ticket} = selected;
    const {customer} = request;
    const state: {begun?: () => void} = {};
    report.servers.push(server.id);
    report.placement = selected.placement;
    const attempt = startAttempt({
      agent: context.connections.agent,
      address: server.address,
      method: request.method,
      url: request.url,
      body: request.body,
      headers: context.dialect.buildHeaders(request.headers, {
        deadlineLeftMs: Math.max(1, Math.floor(endsAt - clock.now())),
        serverId: server.id,
        customerName: customer?.name,
        urgency: service.engine
          ? Math.min(LOWEST_URGENCY, Math.max(0, priority))
          : undefined,
        copySource: selected.copySource,
        lastEventId,
      }),
      requestId: facts.id,
      dialect: context.dialect,
      maximumBodyBytes: context.maximumAnswerBytes,
      onActivity: () => activity.recordActivity(server.id, clock.now()),
      ...(isStream ? {sink: createSink(selected, state)} : {}),
    });
    answer.onDrain(() => attempt.resume());
    const canMoveOn = isRepeatable(request) && ranOn + 1 < route.maximumServers;
    const stopWatching = watchAttempt(attempt, selected, canMoveOn);
    const result = await attempt.result;
    stopWatching();
    state.begun?.();
    ticket.end();
    report.reasons.push(result.reason);
    return result;
  }

  function isServerFailure(result: AttemptResult): boolean {
    return (result.head?.status ?? 0) >= SERVER_FAILURE;
  }

  function recordOutcome(result: AttemptResult, serverId: string): void {
    if (result.reason === 'caller_left') {
      return;
    }
    const hasAnswered =
      result.end === AttemptEnd.COMPLETE && !isServerFailure(result);
    // Where another server answers, the one that was meant is gone.
    const isAbsent = result.isUnreachable || result.reason === 'other_server';
    const failure = isAbsent ? ServerOutcome.UNREACHABLE : ServerOutcome.FAILED;
    selection.recordOutcome(
      serverId,
      hasAnswered ? ServerOutcome.ANSWERED : failure,
      clock.now(),
    );
  }

  /** Whether another server may be asked after this result. */
  function canRepeat(result: AttemptResult, serviceName: string): boolean {
    const hasTime = endsAt - clock.now() > MINIMUM_LEFT_MS;
    if (!hasTime || left.aborted || result.reason === 'deadline') {
      return false;
    }
    const isProven = result.end === AttemptEnd.NOT_RUN;
    if (
      !isProven &&
      (!isRepeatable(request) || ranOn >= route.maximumServers)
    ) {
      return false;
    }
    // A connection that was never made is no arrival at a server.
    return result.isUnreachable || budgets.take(serviceName, clock.now());
  }

  /** Passes on what the last attempt gave; the error says so otherwise. */
  function settleResult(result: AttemptResult): RouterError | undefined {
    if (result.end === AttemptEnd.COMPLETE) {
      if (answer.hasBegun && !isSuccess(result.head!.status)) {
        return new RouterError('answer_truncated', 'the resumed run failed', {
          outcome: Outcome.UNKNOWN,
        });
      }
      if (answer.hasBegun) {
        answer.endStream();
      } else {
        markFirstByte();
        answer.sendWhole(result.head!, result.body ?? Buffer.alloc(0));
      }
      return undefined;
    }
    if (result.reason === 'deadline') {
      return new RouterError('deadline_passed', 'the time ran out', {
        outcome: Outcome.UNKNOWN,
      });
    }
    if (result.end === AttemptEnd.NOT_RUN) {
      return refuse('server_refused', `the server refused: ${result.reason}`);
    }
    return new RouterError('answer_garbled', `no answer: ${result.reason}`, {
      outcome: Outcome.UNKNOWN,
    });
  }

  /** An own failure of a server is worth another try where that is allowed. */
  function isWorthRepeating(result: AttemptResult): boolean {
    return result.end !== AttemptEnd.COMPLETE || isServerFailure(result);
  }

  async function runAttempts(): Promise<RouterError | undefined> {
    budgets.recordRequest(route, clock.now());
    for (;;) {
      const selected = await waitForServer();
      if (!selected) {
        return lastFailure
          ? settleResult(lastFailure)
          : refuse('no_server', 'no backend server can take the request');
      }
      const result = await runAttempt(selected);
      const {server, service} = selected;
      recordOutcome(result, server.id);
      excluded.add(server.id);
      if (result.end !== AttemptEnd.NOT_RUN) {
        ranOn += 1;
      }
      lastFailure = result;
      if (
        left.aborted ||
        !isWorthRepeating(result) ||
        !canRepeat(result, service.name)
      ) {
        return settleResult(result);
      }
    }
  }

  report.error = await runAttempts();
  if (report.error) {
    answer.sendError(report.error);
  }
  return report;
}
