/** Measures how fast a server generates the events of one answer. */

export interface AnswerPaceMeter {
  /** Records events that arrived together. */
  recordEvents(count: number, now: number): void;
  /**
   * Returns the events after the first, with the time from the first to the last, in
   * milliseconds; undefined if there are too few.
   */
  measure(): {events: number; durationMs: number} | undefined;
}

/** Fewer events tell more about the network than about the server. */
const MINIMUM_EVENTS = 3;

export function createAnswerPaceMeter(): AnswerPaceMeter {
  let firstAt: number | undefined;
  let lastAt = 0;
  let events = 0;

  return {
    recordEvents: (count, now) => {
      if (firstAt === undefined) {
        firstAt = now;
      } else {
        events += count;
      }
      lastAt = now;
    },
    measure: () =>
      firstAt !== undefined && events >= MINIMUM_EVENTS && lastAt > firstAt
        ? {events, durationMs: lastAt - firstAt}
        : undefined,
  };
}
