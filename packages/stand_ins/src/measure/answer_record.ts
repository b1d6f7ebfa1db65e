/** The result of one request, as observed by the caller. */
import type {Arrival} from './traffic.js';

/** Times in milliseconds from the start of the run. */
export interface AnswerRecord {
  readonly arrival: Arrival;
  /** Later than the planned arrival if the load generator lags. */
  sentAt: number;
  tokenTimes: number[];
  isComplete: boolean;
  /** Error code, `cut` or `connection`; empty without a failure. */
  problem: string;
  endedAt: number;
}

export function createAnswerRecord(
  arrival: Arrival,
  sentAt: number,
): AnswerRecord {
  return {
    arrival,
    sentAt,
    tokenTimes: [],
    isComplete: false,
    problem: '',
    endedAt: sentAt,
  };
}
