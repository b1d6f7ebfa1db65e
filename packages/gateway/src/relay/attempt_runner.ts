/** Runs the attempts of one request, one at a time, and records them in its report. */
import {RouteKind} from '../model.js';
import type {SelectedServer} from '../state/server_selection.js';
import {startAttempt} from './attempt.js';
import type {AttemptResult, StreamSink} from './attempt.js';
import {watchAttempt} from './attempt_watch.js';
import type {CallerAnswer} from './caller_answer.js';
import {canWriteHeaders} from './header_check.js';
import type {AttemptTracker, PromptTracker} from './prompt_tracker.js';
import type {AcceptedRequest, RelayContext} from './relay_context.js';
import type {RelayReport} from './relay_report.js';
import {isRepeatable} from './repeatable.js';

/** Options of {@link createAttemptRunner}. */
export interface AttemptRunnerOptions {
  request: AcceptedRequest;
  answer: CallerAnswer;
  context: RelayContext;
  report: RelayReport;
  prompt: PromptTracker;
  /** Time of the clock, in milliseconds. */
  deadlineAt: number;
  /** Called when the first byte of the answer is there. */
  markFirstByte: () => void;
  /** Chooses another server before a running attempt is given up. */
  claimSuccessor: (selected: SelectedServer) => boolean;
}

export interface AttemptRunner {
  run(selected: SelectedServer): Promise<AttemptResult>;
  /** Whether the server of the last attempt asked for a pause that keeps requests away. */
  hasPaused(): boolean;
}

/** A server ends a request at its deadline; this leaves time for its answer to arrive. */
const ANSWER_GRACE_MS = 80;
/**
 * Fraction of the remaining time after which an attempt of a safe request is
 * given up if another server may run it.
 */
const SLOW_SERVER_RATIO = 0.4;
/**
 * A pause from this time on keeps requests away by itself. After a shorter one, a server
 * that refuses everything would get a trial every few milliseconds.
 */
const MINIMUM_KEPT_PAUSE_MS = 500;
/** Reason of an attempt that ends because its prompt is quarantined. */
export const QUARANTINED_REASON = 'prompt_quarantined';

export function createAttemptRunner({
  request,
  answer,
  context,
  report,
  prompt,
  deadlineAt,
  markFirstByte,
  claimSuccessor,
}: AttemptRunnerOptions): AttemptRunner {
  const {clock, selection, activity, stopSignal} = context;
  const {route, metadata, receivedAt, disconnectSignal} = request;
  const isStream = route.kind === RouteKind.STREAM;
  let lastEventId = metadata.lastEventId;
  let hasPaused = false;

  function createSink(
    selected: SelectedServer,
    tracking: {endAnswer?: () => void},
    tracker: AttemptTracker,
  ): StreamSink {
    return {
      acceptHead: head => {
        markFirstByte();
        selected.markPrefilled(clock.now());
        tracking.endAnswer = activity.beginAnswer(
          selected.server.id,
          clock.now(),
        );
        if (!answer.hasBegun) {
          answer.beginStream(head);
        }
      },
      acceptEvents: events => {
        for (const {id} of events) {
          // Another server is told the id in a header.
          if (id !== undefined && canWriteHeaders(['id', id])) {
            lastEventId = id;
          }
          tracker.recordEvent();
        }
        selected.progress?.recordEvents(events.length, clock.now());
        return answer.sendChunk(
          events.length === 1
            ? events[0]!.bytes
            : Buffer.concat(events.map(({bytes}) => bytes)),
        );
      },
    };
  }

  async function runAttempt(selected: SelectedServer): Promise<AttemptResult> {
    const {server, service, requestHandle} = selected;
    const {customer} = request;
    const tracking: {endAnswer?: () => void} = {};
    const tracker = prompt.createAttempt(server);
    report.servers.push(server.id);
    const sentAt = clock.now();
    report.sentMs.push(sentAt - receivedAt);
    report.placement = selected.placement;
    report.isDiverted ||= selected.isDiverted;
    report.loadAgeMs = selected.loadAgeMs;
    const responseMemory = request.memory?.openResponse();
    hasPaused = false;
    const attempt = startAttempt({
      agent: context.connections.agent,
      address: server.address,
      method: request.method,
      url: request.url,
      body: request.body,
      headers: context.dialect.buildHeaders(request.headers, {
        remainingMs: Math.max(1, Math.floor(deadlineAt - clock.now())),
        serverId: server.id,
        customerName: customer?.name,
        urgency: service.engine ? request.urgency.level : undefined,
        copySource: selected.copySource,
        lastEventId,
      }),
      requestId: metadata.id,
      isRepeatable: isRepeatable(route),
      isResumed: route.isResumable && lastEventId !== undefined,
      dialect: context.dialect,
      maximumBodyBytes: context.maximumAnswerBytes,
      reserve: bytes => responseMemory?.resize(bytes) ?? true,
      onRead: bytes => request.memory?.countRead(bytes),
      onHead: () => tracker.recordHead(),
      onStatement: statement => {
        hasPaused = (statement.pauseMs ?? 0) >= MINIMUM_KEPT_PAUSE_MS;
        selection.recordStatement(server, statement, {
          requestId: metadata.id,
          sentAt,
          headAt: clock.now(),
        });
      },
      onActivity: () => activity.recordActivity(server.id, clock.now()),
      ...(isStream ? {sink: createSink(selected, tracking, tracker)} : {}),
    });
    answer.onDrain(() => attempt.resume());
    const stopWatching = watchAttempt({
      attempt,
      clock,
      endsAt: deadlineAt + ANSWER_GRACE_MS,
      slowAt:
        route.kind === RouteKind.SAFE
          ? sentAt + (deadlineAt - sentAt) * SLOW_SERVER_RATIO
          : Infinity,
      isSilent: () =>
        activity.isUnresponsive(server.id, clock.now(), route.eventPauseMs),
      claimSuccessor: () => claimSuccessor(selected),
      disconnectSignal,
      stopSignal,
    });
    tracker.start(() => attempt.abort(QUARANTINED_REASON));
    const result = await attempt.result;
    stopWatching();
    tracker.end(result);
    selected.progress?.end(clock.now());
    tracking.endAnswer?.();
    requestHandle.end();
    report.reasons.push(result.reason);
    report.connections.push(result.connection ?? '-');
    return result;
  }

  return {run: runAttempt, hasPaused: () => hasPaused};
}
