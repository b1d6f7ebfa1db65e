/**
 * Relays one request to a backend server and its answer to the caller. Failed
 * attempts are repeated at other servers as far as the kind of the route, the
 * deadline and the repeat budget allow.
 */
import {ServerOutcome} from '@buckthornbeam/decisions';
import {Outcome, RouterError} from '@buckthornbeam/shared';
import type {
  SelectedServer,
  SelectionLimits,
} from '../state/server_selection.js';
import {AttemptEnd, isSuccess} from './attempt.js';
import type {AttemptResult} from './attempt.js';
import {resolveFailureOutcome} from './attempt_failure.js';
import {QUARANTINED_REASON, createAttemptRunner} from './attempt_runner.js';
import type {CallerAnswer} from './caller_answer.js';
import {createPromptTracker} from './prompt_tracker.js';
import {isRepeatable} from './repeatable.js';
import type {AcceptedRequest, RelayContext} from './relay_context.js';
import {addWait, createRelayReport} from './relay_report.js';
import type {RelayReport} from './relay_report.js';
import {waitForRepeat} from './repeat_wait.js';
import {
  buildAttemptError,
  buildQuarantineError,
  buildResumptionError,
  isEndedHere,
} from './result_errors.js';
import {computeRetryAfter, computeShareRetryAfter} from './retry_after.js';
import {waitForServer} from './server_wait.js';

export type {AcceptedRequest, RelayContext} from './relay_context.js';
export type {RelayReport} from './relay_report.js';

/** A request is repeated only with more time than this until its deadline. */
const MINIMUM_ATTEMPT_MS = 15;
const FIRST_SERVER_ERROR_STATUS = 500;
/** Fraction of the time that a request had after which an answer is worth nothing. */
const WORTHLESS_RATIO = 0.75;

/** Relays a request until its caller has an answer or has disconnected. */
export async function relayRequest(
  request: AcceptedRequest,
  answer: CallerAnswer,
  context: RelayContext,
): Promise<RelayReport> {
  const {clock, selection, budgets, customers, stopSignal} = context;
  const {route, metadata, receivedAt, disconnectSignal} = request;
  const timeLimitMs = Math.min(
    metadata.deadlineMs ?? Infinity,
    route.timeoutMs,
  );
  const deadlineAt = receivedAt + timeLimitMs;
  const excluded = new Set<string>();
  /** Servers that were given up as slow, and may still serve. */
  const slowServers = new Set<string>();
  const prompt = createPromptTracker({
    metadata,
    customer: request.customer,
    guard: context.quarantine,
    clock,
  });
  /** Number of servers on which the request may have run. */
  let possibleRuns = 0;
  let lastFailure: AttemptResult | undefined;
  /** Chosen for the next attempt before a running one is given up. */
  let successor: SelectedServer | undefined;
  /** Time until limits and pauses allow the request, if only they keep it back, in ms. */
  let limitWaitMs: number | undefined;
  const report = createRelayReport();

  /**
   * Computes the time until a server that already refused the request may be sent one
   * again, in milliseconds; undefined if limits and pauses do not tell.
   */
  function computeAvailability(): number | undefined {
    const now = clock.now();
    const limits = buildLimits(now);
    return selection.computeLimitWait(route, metadata, new Set(), limits, now);
  }

  /**
   * Computes until when a stream waits for another attempt after this instance gave up a
   * running one. Its caller gets the rest from no other instance, and the server that was
   * given up as silent may go on. Undefined for other requests, which wait as usual.
   */
  function computeWaitEnd(): number | undefined {
    return answer.hasBegun && slowServers.size > 0
      ? receivedAt + timeLimitMs * WORTHLESS_RATIO
      : undefined;
  }

  function markFirstByte(): void {
    report.firstByteMs ??= clock.now() - receivedAt;
  }

  /**
   * Builds the error of a request without an answer. If it may have run on a
   * server, the code is `server_unreachable` and the outcome is unknown.
   */
  function refuse(
    code:
      | 'overloaded'
      | 'no_server'
      | 'server_refused'
      | 'server_unreachable'
      | 'leaving',
    detail: string,
  ): RouterError {
    const remainingMs = Math.max(0, deadlineAt - clock.now());
    if (possibleRuns > 0) {
      return new RouterError('server_unreachable', detail, {
        outcome: Outcome.UNKNOWN,
      });
    }
    return new RouterError(
      code === 'server_unreachable' ? 'no_server' : code,
      detail,
      {
        retryAfterMs:
          context.admission && code !== 'leaving'
            ? context.admission.computeRetryAfter({
                route,
                urgencyPosition: request.urgency.position,
                deadlineAt,
                availableInMs: limitWaitMs ?? computeAvailability(),
              })
            : computeRetryAfter({
                remainingMs,
                random: context.random,
                availableInMs: limitWaitMs ?? computeAvailability(),
              }),
      },
    );
  }

  function buildLimits(now: number): SelectionLimits {
    return {
      targetMs: route.targetLatencyMs,
      pauseMs: route.eventPauseMs,
      remainingMs: deadlineAt - now,
      urgencyPosition: request.urgency.position,
    };
  }

  function selectServer(
    excludedIds: ReadonlySet<string>,
    limits: SelectionLimits,
    now: number,
  ): SelectedServer | undefined {
    const select = (ids: ReadonlySet<string>) =>
      selection.select(route, metadata, ids, limits, now);
    const selected = select(new Set([...excludedIds, ...slowServers]));
    // A caller cannot ask another instance for the rest of an answer that has begun.
    return selected || !answer.hasBegun || slowServers.size === 0
      ? selected
      : select(excludedIds);
  }

  /** Waits for an available server; undefined if there is none in time. */
  async function findServer(): Promise<SelectedServer | undefined> {
    const options = {
      selection,
      route,
      metadata,
      excluded: new Set([...excluded, ...slowServers]),
      buildLimits,
      select: (limits: SelectionLimits, now: number) => {
        const selected = selectServer(excluded, limits, now);
        if (!selected) {
          customers?.recordShortage(request, now);
        }
        return selected;
      },
      deadlineAt,
      clock,
      disconnectSignal,
      stopSignal,
    };
    if (!context.admission) {
      const {onLack} = context;
      const result = await waitForServer({
        ...options,
        waitUntil: computeWaitEnd(),
        ...(onLack ? {onLack: now => onLack(route, now)} : {}),
      });
      limitWaitMs = result.limitWaitMs;
      return result.selected;
    }
    const result = await context.admission.wait({
      ...options,
      urgencyPosition: request.urgency.position,
      receivedAt,
      hasBegun: answer.hasBegun,
    });
    addWait(report, result);
    limitWaitMs = result.limitWaitMs;
    return result.selected;
  }

  function hasTimeToRepeat(): boolean {
    return deadlineAt - clock.now() > MINIMUM_ATTEMPT_MS;
  }

  /** Chooses another server for the request and takes a repeat from the budget. */
  function claimSuccessor({server, service}: SelectedServer): boolean {
    const canUseAnotherServer =
      isRepeatable(route) && possibleRuns + 1 < route.maximumServers;
    if (
      !canUseAnotherServer ||
      !hasTimeToRepeat() ||
      prompt.isQuarantined() ||
      !budgets.has(service.name, clock.now())
    ) {
      return false;
    }
    const now = clock.now();
    const otherIds = new Set([...excluded, ...slowServers, server.id]);
    const limits = context.admission
      ? context.admission.addHolds(route, metadata, buildLimits(now), now)
      : buildLimits(now);
    const next = selectServer(otherIds, limits, now);
    if (next && !budgets.take(service.name, now)) {
      next.requestHandle.end();
      return false;
    }
    successor = next;
    return next !== undefined;
  }

  const attempts = createAttemptRunner({
    request,
    answer,
    context,
    report,
    prompt,
    deadlineAt,
    markFirstByte,
    claimSuccessor,
  });

  function isServerFailure(result: AttemptResult): boolean {
    return (result.head?.status ?? 0) >= FIRST_SERVER_ERROR_STATUS;
  }

  function recordOutcome(result: AttemptResult, serverId: string): void {
    // A server that refuses for a time and says so has no fault, and is used after it.
    if (result.reason === 'caller_left' || attempts.hasPaused()) {
      return;
    }
    const hasAnswered =
      result.end === AttemptEnd.COMPLETE && !isServerFailure(result);
    selection.recordOutcome(
      serverId,
      hasAnswered ? ServerOutcome.ANSWERED : resolveFailureOutcome(result),
      clock.now(),
    );
  }

  /** Whether the request may be sent to another server after this result. */
  async function claimRepeat(
    result: AttemptResult,
    serviceName: string,
  ): Promise<boolean> {
    if (
      !hasTimeToRepeat() ||
      disconnectSignal.aborted ||
      stopSignal.aborted ||
      result.reason === 'deadline'
    ) {
      return false;
    }
    const isNotRun = result.end === AttemptEnd.NOT_RUN;
    if (!prompt.canRepeat(result)) {
      return false;
    }
    if (
      !isNotRun &&
      (!isRepeatable(route) || possibleRuns >= route.maximumServers)
    ) {
      return false;
    }
    // A failed connection puts no load on a server, so it costs no budget.
    return (
      result.isUnreachable ||
      waitForRepeat({
        budgets,
        serviceName,
        waitUntil: computeWaitEnd(),
        clock,
        disconnectSignal,
        stopSignal,
      })
    );
  }

  /** Sends the answer of the last attempt; returns an error if it has none. */
  function settleResult(result: AttemptResult): RouterError | undefined {
    if (result.end === AttemptEnd.COMPLETE) {
      if (answer.hasBegun && !isSuccess(result.head!.status)) {
        return buildResumptionError();
      }
      if (answer.hasBegun) {
        answer.endStream();
      } else {
        markFirstByte();
        answer.sendComplete(result.head!, result.body ?? Buffer.alloc(0));
      }
      return undefined;
    }
    if (result.end === AttemptEnd.NOT_RUN && !isEndedHere(result)) {
      return refuse(
        'server_refused',
        `the server did not run the request: ${result.reason}`,
      );
    }
    return buildAttemptError(result);
  }

  /** Whether the attempt has no answer or the answer is a server error. */
  function hasFailed(result: AttemptResult): boolean {
    return result.end !== AttemptEnd.COMPLETE || isServerFailure(result);
  }

  /** Refuses a request that has not run if its customer is over its share. */
  function checkShare(): RouterError | undefined {
    const refusal = customers?.check(request, clock.now());
    if (!refusal) {
      return undefined;
    }
    report.isOverShare = true;
    return new RouterError(
      'overloaded',
      'the customer is over its share of the capacity',
      {
        retryAfterMs: computeShareRetryAfter({
          remainingMs: Math.max(0, deadlineAt - clock.now()),
          availableInMs: refusal.availableInMs,
          random: context.random,
        }),
      },
    );
  }

  async function runAttempts(): Promise<RouterError | undefined> {
    budgets.recordRequest(route, clock.now());
    const refusal = checkShare();
    if (refusal) {
      return refusal;
    }
    for (;;) {
      if (disconnectSignal.aborted) {
        return new RouterError('cancelled', 'the caller disconnected');
      }
      if (stopSignal.aborted) {
        return refuse('leaving', 'the instance is stopping');
      }
      if (prompt.isQuarantined()) {
        return buildQuarantineError(possibleRuns);
      }
      const selected = successor ?? (await findServer());
      successor = undefined;
      if (!selected) {
        return lastFailure
          ? settleResult(lastFailure)
          : refuse('no_server', 'no backend server can accept the request');
      }
      if (prompt.isQuarantined()) {
        selected.requestHandle.end();
        return buildQuarantineError(possibleRuns);
      }
      if (report.servers.length === 0) {
        customers?.recordService(request, clock.now());
      }
      const result = await attempts.run(selected);
      if (result.reason === QUARANTINED_REASON) {
        possibleRuns += 1;
        return buildQuarantineError(possibleRuns);
      }
      const {server, service} = selected;
      recordOutcome(result, server.id);
      (successor ? slowServers : excluded).add(server.id);
      if (result.end !== AttemptEnd.NOT_RUN) {
        possibleRuns += 1;
      }
      lastFailure = result;
      if (
        disconnectSignal.aborted ||
        !hasFailed(result) ||
        !(successor || (await claimRepeat(result, service.name)))
      ) {
        return settleResult(result);
      }
    }
  }

  report.error = await runAttempts();
  successor?.requestHandle.end();
  if (report.error) {
    answer.sendError(report.error);
  }
  return report;
}
