/** How far an attempt got, and what that says about its execution. */
import {Outcome, loadChart} from '@buckthornbeam/shared';

/** Facts about an attempt, recorded as they happen. */
export const AttemptEvent = {
  /** The first byte of the request may have left this process. */
  WRITTEN: 'written',
  /** The back end proved that it did not run the request. */
  REFUSED: 'refused',
  /** The answer began; a later refusal proves nothing. */
  ANSWERING: 'answering',
  /** The terminator of the answer arrived. */
  TERMINATED: 'terminated',
} as const;
export type AttemptEvent = (typeof AttemptEvent)[keyof typeof AttemptEvent];

/** The record of one attempt. */
export interface AttemptRecord {
  /** Adds a fact; facts that cannot follow the earlier ones change nothing. */
  record(event: AttemptEvent): void;
  /** Tells what is known about the execution so far. */
  getOutcome(): Outcome;
}

const chart = loadChart(new URL('./charts/attempt.json', import.meta.url));

/** The one place that decides what an attempt's record proves. */
const outcomes: Readonly<Record<string, Outcome>> = {
  unsent: Outcome.NOT_RUN,
  sent: Outcome.UNKNOWN,
  answering: Outcome.UNKNOWN,
  refused: Outcome.NOT_RUN,
  terminated: Outcome.COMPLETED,
};

/** Creates the record of an attempt that has not begun. */
export function createAttemptRecord(): AttemptRecord {
  let state = chart.initial;
  return {
    record: event => {
      state = chart.step(state, event);
    },
    getOutcome: () => outcomes[state] ?? Outcome.UNKNOWN,
  };
}

/** Whether a connection error of undici or the system came before any byte. */
export function isConnectFailure(error: unknown): boolean {
  const {code, syscall} = error as {code?: string; syscall?: string};
  return syscall === 'connect' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

/**
 * Tells what is known of a request after several attempts: it did not run only
 * if none of them can have run.
 */
export function mergeOutcomes(earlier: Outcome, latest: Outcome): Outcome {
  if (latest === Outcome.COMPLETED) {
    return latest;
  }
  return earlier === Outcome.NOT_RUN ? latest : Outcome.UNKNOWN;
}
