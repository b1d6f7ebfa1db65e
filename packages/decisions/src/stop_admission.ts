/** Decides which requests an instance that stops still accepts. */

/** Estimates the longest duration of an answer from the last answers of a route. */
export interface LongestDuration {
  /** Records an answer that took `durationMs`. */
  observe(durationMs: number): void;
  /** In milliseconds; undefined until enough answers were observed. */
  estimate(): number | undefined;
}

/** The estimate covers this many to twice as many of the last answers. */
const PERIOD_ANSWERS = 100;
const MINIMUM_ANSWERS = 20;
/** An answer may take longer than any observed one. */
const DURATION_MARGIN_RATIO = 1.25;

export function createLongestDuration(): LongestDuration {
  let answers = 0;
  let currentMs = 0;
  let previousMs = 0;

  return {
    observe: durationMs => {
      if (answers > 0 && answers % PERIOD_ANSWERS === 0) {
        previousMs = currentMs;
        currentMs = 0;
      }
      answers += 1;
      currentMs = Math.max(currentMs, durationMs);
    },
    estimate: () =>
      answers < MINIMUM_ANSWERS ? undefined : Math.max(currentMs, previousMs),
  };
}

/** Times are those of one clock, in milliseconds. */
export interface StopAdmission {
  now: number;
  /** When the instance ends all open requests. */
  requestsEndAt: number;
  deadlineAt: number;
  /** Longest duration to expect; undefined to expect no end before the deadline. */
  longestMs: number | undefined;
}

/** Whether a request can be expected to end before the instance ends it. */
export function canEndBeforeStop({
  now,
  requestsEndAt,
  deadlineAt,
  longestMs = Infinity,
}: StopAdmission): boolean {
  const expectedEndAt = now + longestMs * DURATION_MARGIN_RATIO;
  return Math.min(deadlineAt, expectedEndAt) <= requestsEndAt;
}
