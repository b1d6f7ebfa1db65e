/** Times of a planned stop, between the stop signal and the kill. */

/** Times of the clock, in milliseconds. */
export interface StopTimes {
  closeIdleAt: number;
  refuseAt: number;
  /** When requests are ended that are still open then, at the earliest. */
  requestsEndAt: number;
  /** When the process ends although last answers are not handed over. */
  answersEndAt: number;
  /** When the process ends although log lines are not written. */
  exitAt: number;
}

export interface StopTimesOptions {
  /** When the signal was sent, at the earliest; a time of the clock. */
  signalledAt: number;
  /** Time between the signal and the kill. */
  graceMs: number;
  /** Requests that have to be ended one by one. */
  openRequests: number;
}

/** Requests are accepted after a stop begins until callers' cached addresses expire. */
const STOP_ACCEPTING_DELAY_MS = 3000;
/** Idle connections are closed once callers may have resolved other addresses. */
const CLOSE_IDLE_DELAY_MS = 1500;
/** Part of the grace period in which new requests are accepted at most. */
const ACCEPTING_RATIO = 0.5;
/** Shortest margin before the kill. */
const SHORTEST_MARGIN_MS = 400;
/** Ending the process takes up to 60 ms of processor time, at 0.12 of a core half a second. */
const MARGIN_MS = 600;
/** Ending a request takes 1 ms of processor time, at 0.12 of a core 8 ms. */
const REQUEST_MARGIN_MS = 8;
/** Part of the grace period that the margin takes at most, if it can be longer. */
const MARGIN_RATIO = 0.25;
/** Parts of the margin that are left when the last answers and the log end. */
const ANSWERS_MARGIN_RATIO = 0.5;
const LOG_MARGIN_RATIO = 0.25;

/** Computes the time that is kept free before the kill, in milliseconds. */
function computeMargin(graceMs: number, openRequests: number): number {
  return Math.max(
    Math.min(SHORTEST_MARGIN_MS, graceMs * ACCEPTING_RATIO),
    Math.min(
      MARGIN_MS + openRequests * REQUEST_MARGIN_MS,
      graceMs * MARGIN_RATIO,
    ),
  );
}

export function computeStopTimes({
  signalledAt,
  graceMs,
  openRequests,
}: StopTimesOptions): StopTimes {
  const killAt = signalledAt + graceMs;
  const marginMs = computeMargin(graceMs, openRequests);
  const acceptingMs = Math.min(
    STOP_ACCEPTING_DELAY_MS,
    graceMs * ACCEPTING_RATIO,
  );
  return {
    closeIdleAt: signalledAt + Math.min(CLOSE_IDLE_DELAY_MS, acceptingMs),
    refuseAt: signalledAt + acceptingMs,
    requestsEndAt: killAt - marginMs,
    answersEndAt: killAt - marginMs * ANSWERS_MARGIN_RATIO,
    exitAt: killAt - marginMs * LOG_MARGIN_RATIO,
  };
}
