/**
 * Records the progress of an attempt and derives the outcome of its execution.
 */
import {Outcome, loadChart} from '@buckthornbeam/shared';

/** Events of an attempt. */
export const AttemptEvent = {
  /** The first byte of the request may have left this process. */
  WRITTEN: 'written',
  /** The back end confirmed that it did not run the request. */
  REFUSED: 'refused',
  /** The answer began; a later refusal is not a proof that nothing ran. */
  ANSWERING: 'answering',
  /** The terminator of the answer arrived. */
  TERMINATED: 'terminated',
} as const;
export type AttemptEvent = (typeof AttemptEvent)[keyof typeof AttemptEvent];

export interface AttemptRecord {
  /**
   * Applies an event; events that are not valid in the current state are
   * ignored.
   */
  record(event: AttemptEvent): void;
  /** Returns the outcome that the events so far imply. */
  getOutcome(): Outcome;
}

const chart = loadChart(new URL('./charts/attempt.json', import.meta.url));

/**
 * Outcome by state of the chart; nothing else decides whether an attempt ran.
 */
const outcomes: Readonly<Record<string, Outcome>> = {
  unsent: Outcome.NOT_RUN,
  sent: Outcome.UNKNOWN,
  answering: Outcome.UNKNOWN,
  refused: Outcome.NOT_RUN,
  terminated: Outcome.COMPLETED,
};

export function createAttemptRecord(): AttemptRecord {
  let state = chart.initial;
  return {
    record: event => {
      state = chart.step(state, event);
    },
    getOutcome: () => outcomes[state] ?? Outcome.UNKNOWN,
  };
}

/**
 * Whether an error of undici or the system occurred before any byte was sent.
 */
export function isConnectFailure(error: unknown): boolean {
  const {code, syscall} = error as {code?: string; syscall?: string};
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

/**
 * Combines the outcomes of successive attempts of a request: it is NOT_RUN only
 * if every attempt is.
 */
export function mergeOutcomes(earlier: Outcome, latest: Outcome): Outcome {
  if (latest === Outcome.COMPLETED) {
    return latest;
  }
  return earlier === Outcome.NOT_RUN ? latest : Outcome.UNKNOWN;
}
