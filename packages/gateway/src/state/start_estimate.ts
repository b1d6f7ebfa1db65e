/** Computes how long a request may wait for a server and still be worth sending. */
import {estimateTokenMs} from '@buckthornbeam/decisions';
import {RouteKind} from '../model.js';
import type {RequestMetadata, Route, Service} from '../model.js';
import {
  buildEngineRequest,
  computeMaximumDurationRatio,
} from './engine_request.js';

/** A request that is about to wait, with its times. */
export interface WaitingTimes {
  route: Route;
  metadata: RequestMetadata;
  /** Position in the order of urgency: 0 is the first, 1 the last. */
  urgencyPosition: number;
  receivedAt: number;
  deadlineAt: number;
  /** Whether the caller has received a part of the answer. */
  hasBegun: boolean;
  now: number;
}

export interface WaitLimits {
  /** Time from which the wait costs the caller something. */
  lossBeginsAt: number;
  /** Time at which the wait ends without a server. */
  endsAt: number;
  /** The same for a wait that only the work of other instances can end. */
  sharedEndsAt: number;
  /** Latest time at which a server without load would end the request in time. */
  latestStartAt: number;
}

/** A wait of up to this fraction of the target latency costs the caller nothing. */
const FREE_WAIT_RATIO = 0.125;
/**
 * Fraction of the target latency for which a request waits although other instances may
 * serve it. An eighth refused requests of ordinary days that found a server soon after.
 */
const SHARED_WAIT_RATIO = 0.25;
/** Lower bound of the wait: a few turns of the queue. */
const MINIMUM_WAIT_MS = 40;
/** Fraction of the time that the request had after which an answer is worth nothing. */
const WORTHLESS_RATIO = 0.75;
/**
 * Fraction of the answer's worth that a wait may cost. The caller gets more from another
 * try, at an instance that may have a server, than from a longer wait.
 */
const MAXIMUM_LOSS_RATIO = 0.125;
/** A server needs this time for any request. */
const MINIMUM_ATTEMPT_MS = 15;
/** Callers abandon a stream without an event after the longest of these. */
const ABANDON_MS = 2000;
const ABANDON_TARGETS = 4;
const ABANDON_PAUSES = 8;

/** Estimated times of a request on a server without load, in milliseconds. */
interface IdleTimes {
  firstEventMs: number;
  endMs: number;
}

const MINIMUM_TIMES: IdleTimes = {
  firstEventMs: MINIMUM_ATTEMPT_MS,
  endMs: MINIMUM_ATTEMPT_MS,
};

/** The shared part of the prompt counts as cached, so that the times are the shortest. */
function estimateIdleTimes(
  {engine}: Service,
  {metadata, route, urgencyPosition}: WaitingTimes,
  prefillTokensPerMs: number,
): IdleTimes {
  if (!engine || !metadata.generation) {
    return MINIMUM_TIMES;
  }
  const request = buildEngineRequest(metadata.generation, {
    targetMs: route.targetLatencyMs,
    pauseMs: route.eventPauseMs,
    remainingMs: Infinity,
    urgencyPosition,
  });
  const ownTokens = Math.max(0, request.promptTokens - request.sharedTokens);
  const firstEventMs = ownTokens / prefillTokensPerMs;
  const tokenMs = estimateTokenMs(
    {inFlight: 0, prefillTokensPerMs: 0},
    prefillTokensPerMs,
  );
  const endMs = firstEventMs + request.outputTokens * tokenMs;
  // As in the placement, an estimate may miss the deadline by some part.
  return {
    firstEventMs,
    endMs: endMs / computeMaximumDurationRatio(urgencyPosition),
  };
}

/** Computes the limits of a wait for a server of one of the services. */
export function computeWaitLimits(
  times: WaitingTimes,
  services: readonly Service[],
  prefillTokensPerMs: number,
): WaitLimits {
  const {route, receivedAt, deadlineAt, now} = times;
  const idle = services
    .map(service => estimateIdleTimes(service, times, prefillTokensPerMs))
    .sort((a, b) => a.endMs - b.endMs);
  const {firstEventMs, endMs} = idle[0] ?? MINIMUM_TIMES;
  const abandonMs = Math.max(
    ABANDON_MS,
    route.targetLatencyMs * ABANDON_TARGETS,
    (route.eventPauseMs ?? 0) * ABANDON_PAUSES,
  );
  const abandonAt =
    route.kind === RouteKind.STREAM && !times.hasBegun
      ? receivedAt + abandonMs - firstEventMs
      : Infinity;
  const latestStartAt = Math.min(deadlineAt - endMs, abandonAt);
  const freeMs = Math.max(
    MINIMUM_WAIT_MS,
    route.targetLatencyMs * FREE_WAIT_RATIO,
  );
  const worthlessMs = (deadlineAt - receivedAt) * WORTHLESS_RATIO;
  const paidMs = Math.max(0, worthlessMs - freeMs) * MAXIMUM_LOSS_RATIO;
  return {
    lossBeginsAt: now + freeMs,
    endsAt: Math.min(latestStartAt, now + freeMs + paidMs),
    sharedEndsAt:
      now +
      Math.max(MINIMUM_WAIT_MS, route.targetLatencyMs * SHARED_WAIT_RATIO),
    latestStartAt,
  };
}
