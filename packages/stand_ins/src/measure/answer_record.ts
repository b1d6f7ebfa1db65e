/** What a caller saw of one request. */
import type {Arrival} from './traffic.js';

/** Times in milliseconds from the start of the run. */
export interface AnswerRecord {
  readonly arrival: Arrival;
  /** Time at which the request was really sent. */
  sentAt: number;
  /** Times of the tokens. */
  tokenTimes: number[];
  isComplete: boolean;
  /** Code of the problem; empty for none. */
  problem: string;
  endedAt: number;
}

/** Creates the record of a request that is being sent. */
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
