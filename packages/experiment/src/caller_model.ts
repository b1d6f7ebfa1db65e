/**
 * Simulates callers: a request waits at an instance for a server, is retried
 * after a refusal, and is aborted if no event arrives within the idle timeout.
 */
import type {RandomSource} from '@buckthornbeam/shared';
import type {SelectedServer} from '@buckthornbeam/gateway';
import type {EventQueue} from './event_queue.js';
import type {LateCause, ResultTracker} from './result_tracker.js';
import type {EngineJob} from './engine.js';
import type {SimulatedFleet, SimulatedInstance} from './fleet_model.js';
import {listPromptBlocks} from './load_generator.js';
import type {LoadRequest, RequestKind} from './load_generator.js';

/** Options of {@link createSimulatedCallers}. */
export interface SimulatedCallersOptions {
  eventQueue: EventQueue;
  fleet: SimulatedFleet;
  random: RandomSource;
  resultTracker: ResultTracker;
}

export interface SimulatedCallers {
  /** Sends a request to an instance that is chosen at random. */
  sendRequest(request: LoadRequest): void;
}

/** An attempt to get a request served by one instance. */
interface RequestAttempt {
  request: LoadRequest;
  instance: SimulatedInstance;
  previousRefusals: number;
  /** When the instance refuses it unless a server was found, in milliseconds. */
  refusedAt: number;
  /** Servers that rejected it. */
  excluded: Set<string>;
}

/** Network round trip between caller and server, in milliseconds. */
const ROUND_TRIP_MS = 8;
/** Interval at which a waiting request polls for a server. */
const POLL_INTERVAL_MS = 10;
/** Wait limit for a server, as a ratio of the latency target. */
const WAIT_TARGET_RATIO = 0.25;
const MINIMUM_WAIT_MS = 40;
/** Delay of a retry, as a ratio of the time until the deadline. */
const RETRY_DELAY_RATIO = 0.23;
/** Retries of a request after a refusal. */
const MAXIMUM_RETRIES = 1;
/**
 * The idle timeout is the longest of three limits: a fixed one, a multiple of the
 * latency target, and a multiple of the target for the pause between events.
 */
const MINIMUM_IDLE_TIMEOUT_MS = 2000;
const IDLE_TIMEOUT_TARGET_RATIO = 4;
const IDLE_TIMEOUT_PAUSE_RATIO = 8;

function computeIdleTimeoutMs({targetMs, pauseMs}: RequestKind): number {
  return Math.max(
    MINIMUM_IDLE_TIMEOUT_MS,
    IDLE_TIMEOUT_TARGET_RATIO * targetMs,
    IDLE_TIMEOUT_PAUSE_RATIO * pauseMs,
  );
}

function getDeadline({kind, atMs}: LoadRequest): number {
  return atMs + kind.deadlineMs;
}

/** Creates the callers of a fleet. */
export function createSimulatedCallers(
  options: SimulatedCallersOptions,
): SimulatedCallers {
  const {eventQueue, fleet, random, resultTracker} = options;

  function startAttempt(request: LoadRequest, previousRefusals: number): void {
    const {instances} = fleet;
    const {targetMs} = request.kind;
    findServer({
      request,
      instance: instances[Math.floor(random.nextFloat() * instances.length)]!,
      previousRefusals,
      refusedAt:
        eventQueue.now +
        Math.max(MINIMUM_WAIT_MS, targetMs * WAIT_TARGET_RATIO),
      excluded: new Set(),
    });
  }

  /** Retries a refused request later, or records it as refused. */
  function refuseAttempt({request, previousRefusals}: RequestAttempt): void {
    if (previousRefusals >= MAXIMUM_RETRIES) {
      resultTracker.recordResult(request, 'refused');
      return;
    }
    const retryDelayMs =
      (getDeadline(request) - eventQueue.now) * RETRY_DELAY_RATIO;
    eventQueue.runAt(eventQueue.now + retryDelayMs, () =>
      startAttempt(request, previousRefusals + 1),
    );
  }

  function findServer(attempt: RequestAttempt): void {
    const {request, instance, excluded, refusedAt} = attempt;
    const remainingMs = getDeadline(request) - eventQueue.now;
    const selected = fleet.select(instance, request, remainingMs, excluded);
    if (selected) {
      startResponse(attempt, selected);
    } else if (eventQueue.now + POLL_INTERVAL_MS > refusedAt) {
      refuseAttempt(attempt);
    } else {
      eventQueue.runAt(eventQueue.now + POLL_INTERVAL_MS, () =>
        findServer(attempt),
      );
    }
  }

  /** Submits the request to the selected server and tracks its response. */
  function startResponse(
    attempt: RequestAttempt,
    selected: SelectedServer,
  ): void {
    const {request, instance} = attempt;
    const {kind} = request;
    const {server, requestHandle: ticket} = selected;
    const engine = fleet.engines.get(server.id)!;
    // copySource is an address; simulated servers have their id as address.
    const source = fleet.engines.get(selected.copySource ?? '');
    const idleTimeoutMs = computeIdleTimeoutMs(kind);
    const sentAt = eventQueue.now;
    let lastEventAt: number | undefined;
    let lateCause: LateCause | undefined;
    let isEnded = false;
    let eventCount = 0;

    function endResponse(outcome: 'onTime' | 'late' | 'failed'): void {
      isEnded = true;
      ticket.end();
      resultTracker.recordResult(
        request,
        outcome,
        outcome === 'late' ? lateCause : undefined,
      );
    }

    /** Aborts the request if no event arrives until the timeout or deadline. */
    function startIdleTimer(): void {
      const eventCountAtStart = eventCount;
      const timesOutAt = Math.min(
        eventQueue.now + idleTimeoutMs,
        getDeadline(request),
      );
      eventQueue.runAt(timesOutAt, () => {
        if (!isEnded && eventCountAtStart === eventCount) {
          engine.cancel(job);
          endResponse('failed');
        }
      });
    }

    function checkLatency(): void {
      if (lastEventAt === undefined) {
        const latestOnTime = request.atMs + kind.targetMs - ROUND_TRIP_MS;
        lateCause = eventQueue.now > latestOnTime ? 'lateFirst' : undefined;
      } else if (eventQueue.now - lastEventAt > kind.pauseMs) {
        lateCause ??= 'latePause';
      }
    }

    const job: EngineJob = {
      urgency: fleet.rank(request).level,
      blocks: listPromptBlocks(request),
      outputTokens: request.outputTokens,
      ...(source ? {copySource: source} : {}),
      onEvent: isLast => {
        if (isEnded) {
          return;
        }
        checkLatency();
        if (lastEventAt === undefined) {
          fleet.recordAnswer(instance, server, {sentAt, isRefusal: false});
          selected.markPrefilled(eventQueue.now);
        }
        lastEventAt = eventQueue.now;
        eventCount += 1;
        if (isLast) {
          endResponse(lateCause ? 'late' : 'onTime');
        } else {
          startIdleTimer();
        }
      },
      onCrash: () => {
        instance.selection.recordOutcome(server.id, 'failed', eventQueue.now);
        endResponse('failed');
      },
    };

    if (!engine.submit(job)) {
      ticket.end();
      if (engine.isUp) {
        fleet.recordAnswer(instance, server, {sentAt, isRefusal: true});
      }
      const outcome = engine.isUp ? 'failed' : 'unreachable';
      // As in the relay, a server that asks for a pause has not failed.
      if (engine.buildStatement(true).pauseMs === undefined) {
        instance.selection.recordOutcome(server.id, outcome, eventQueue.now);
      }
      attempt.excluded.add(server.id);
      findServer(attempt);
      return;
    }
    resultTracker.recordAccepted(request);
    startIdleTimer();
  }

  return {sendRequest: request => startAttempt(request, 0)};
}
