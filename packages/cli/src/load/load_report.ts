/** What a load got, by class. */
import type {LoadClass} from '@buckthornbeam/config';
import {build} from 'hdr-histogram-js';
import type {CallResult} from './chat_call.js';

/** Results of one class; shares are between 0 and 1. */
export interface ClassReport {
  class: string;
  sent: number;
  /** Calls that were due while too many were open. */
  unsent: number;
  /** Whole answers that met every target, as a share of the calls due. */
  attainment: number;
  /** Calls that met the one target, as a share of the calls due. */
  firstTokenMet: number;
  betweenTokensMet: number;
  completionMet: number;
  /** Tokens a second of answers that met every target. */
  goodput: number;
  firstTokenMs: {p50: number; p95: number; p99: number};
  codes: Record<string, number>;
  outcomes: Record<string, number>;
}

/** Collects the results of one class. */
export interface ClassTally {
  add(result: CallResult): void;
  addUnsent(): void;
  countDone(): number;
  report(elapsedMs: number): ClassReport;
}

const MAXIMUM_LATENCY_MS = 600_000;

function updateCount(counts: Record<string, number>, key: string): void {
  counts[key] = (counts[key] ?? 0) + 1;
}

function toShare(part: number, whole: number): number {
  return whole === 0 ? 0 : Math.round((part / whole) * 10_000) / 10_000;
}

/** Creates an empty tally for a class. */
export function createClassTally(load: LoadClass): ClassTally {
  const firstTokens = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAXIMUM_LATENCY_MS,
    numberOfSignificantValueDigits: 3,
  });
  const codes: Record<string, number> = {};
  const outcomes: Record<string, number> = {};
  const met = {first: 0, between: 0, completion: 0, all: 0};
  let sent = 0;
  let unsent = 0;
  let goodTokens = 0;

  function countTargets(result: CallResult): void {
    const {targets} = load;
    const {firstTokenMs, longestGapMs, totalMs} = result;
    const isWhole = result.code === 'ok';
    const first =
      firstTokenMs !== undefined && firstTokenMs <= targets.firstTokenMs;
    const between = isWhole && longestGapMs <= targets.betweenTokensMs;
    const completion = isWhole && totalMs <= targets.completionMs;
    met.first += Number(first);
    met.between += Number(between);
    met.completion += Number(completion);
    if (first && between && completion) {
      met.all += 1;
      goodTokens += result.tokens;
    }
  }

  return {
    add: result => {
      sent += 1;
      updateCount(codes, result.code);
      updateCount(outcomes, result.outcome);
      countTargets(result);
      if (result.firstTokenMs !== undefined) {
        firstTokens.recordValue(
          Math.min(MAXIMUM_LATENCY_MS, Math.ceil(result.firstTokenMs)),
        );
      }
    },
    addUnsent: () => {
      unsent += 1;
    },
    countDone: () => sent,
    report: elapsedMs => {
      const due = sent + unsent;
      return {
        class: load.class,
        sent,
        unsent,
        attainment: toShare(met.all, due),
        firstTokenMet: toShare(met.first, due),
        betweenTokensMet: toShare(met.between, due),
        completionMet: toShare(met.completion, due),
        goodput: Math.round((goodTokens * 1000) / elapsedMs),
        firstTokenMs: {
          p50: firstTokens.getValueAtPercentile(50),
          p95: firstTokens.getValueAtPercentile(95),
          p99: firstTokens.getValueAtPercentile(99),
        },
        codes,
        outcomes,
      };
    },
  };
}
