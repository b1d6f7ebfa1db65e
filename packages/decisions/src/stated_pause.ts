/**
 * Decides by the time for which a server asks to be sent nothing. After that time one
 * request is sent as a trial; answers then allow more, until nothing is limited.
 */

/** Times of the answer, in milliseconds; its head was written between the two. */
export interface PauseAnswerTimes {
  sentAt: number;
  headAt: number;
}

/** What is kept for one life of a server; times are in milliseconds. */
export interface PauseState {
  /** The stated duration, as far as it is kept to. */
  pauseMs: number;
  endsAt: number;
  /** Whether the end was reported. */
  isOver: boolean;
  /** Requests that may be sent after the end. */
  trials: number;
  /** When the last of them was sent. */
  triedAt: number;
  /** When a trial was first answered without another pause. */
  answeredAt: number | undefined;
}

/**
 * Longest pause that is kept to. A server with a faulty value is otherwise lost for
 * its whole life; one that means it refuses the trial and is paused again.
 */
const MAXIMUM_PAUSE_MS = 600_000;
/**
 * Time after which a trial without an answer is replaced by another one, above the time
 * that servers need for the heads of their answers.
 */
const TRIAL_MS = 3000;
/** Requests that the answer to a trial allows. */
const REQUESTS_PER_ANSWER = 2;
/** Time after the first answer to a trial from which nothing is limited. */
const RETURN_MS = 500;
/** Wait for an answer to a trial, which may come at any time. */
const ANSWER_POLL_MS = 10;

/** Whether trials were answered for long enough. */
function hasReturned({answeredAt = Infinity}: PauseState, now: number) {
  return now - answeredAt >= RETURN_MS;
}

function countTrials({trials, triedAt}: PauseState, now: number): number {
  return trials <= 0 && now - triedAt >= TRIAL_MS ? 1 : trials;
}

/**
 * Applies an answer; undefined if there is no pause. Of several pauses, the one that
 * ends last counts, so that the order of the answers does not matter.
 * @param pauseMs Absent if the answer states none.
 */
export function updatePause(
  state: PauseState | undefined,
  pauseMs: number | undefined,
  {sentAt, headAt}: PauseAnswerTimes,
): PauseState | undefined {
  if (pauseMs !== undefined && pauseMs > 0) {
    const keptMs = Math.min(pauseMs, MAXIMUM_PAUSE_MS);
    const endsAt = headAt + keptMs;
    return state && state.endsAt >= endsAt
      ? state
      : {
          pauseMs: keptMs,
          endsAt,
          isOver: false,
          trials: 1,
          triedAt: -Infinity,
          answeredAt: undefined,
        };
  }
  // Requests from before the end are no trials; they may be answered in the pause.
  if (!state || sentAt < state.endsAt) {
    return state;
  }
  return {
    ...state,
    trials: state.trials + REQUESTS_PER_ANSWER,
    answeredAt: state.answeredAt ?? headAt,
  };
}

/** Returns the state at a later time; undefined if nothing is limited any more. */
export function advancePause(
  state: PauseState,
  now: number,
): PauseState | undefined {
  if (hasReturned(state, now)) {
    return undefined;
  }
  return now >= state.endsAt && !state.isOver
    ? {...state, isOver: true}
    : state;
}

/**
 * Computes the time until a request may be sent after those ahead of it, in
 * milliseconds.
 */
export function computePauseWait(
  state: PauseState,
  now: number,
  requestsAhead = 0,
): number {
  if (now < state.endsAt) {
    return state.endsAt - now;
  }
  return hasReturned(state, now) || countTrials(state, now) > requestsAhead
    ? 0
    : ANSWER_POLL_MS;
}

/** Uses up one trial. */
export function recordPausedSend(state: PauseState, now: number): PauseState {
  return {...state, trials: countTrials(state, now) - 1, triedAt: now};
}
