/** Aggregates the results of generated load by class. */
import type {LoadClass} from '@buckthornbeam/config';
import {build} from 'hdr-histogram-js';
import type {CallResult} from './chat_call.js';

/** Results of one class; ratios are between 0 and 1. */
export interface ClassReport {
  class: string;
  sent: number;
  /** Calls skipped because too many were open when they were due. */
  unsent: number;
  /** Complete answers that met every target, as a ratio of the calls due. */
  attainment: number;
  /** Calls that met this target, as a ratio of the calls due. */
  firstTokenMet: number;
  betweenTokensMet: number;
  completionMet: number;
  /** Tokens per second, over the answers that met every target. */
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

function computeRatio(count: number, total: number): number {
  return total === 0 ? 0 : Math.round((count / total) * 10_000) / 10_000;
}

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
    const isComplete = result.code === 'ok';
    const first =
      firstTokenMs !== undefined && firstTokenMs <= targets.firstTokenMs;
    const between = isComplete && longestGapMs <= targets.betweenTokensMs;
    const completion = isComplete && totalMs <= targets.completionMs;
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
      const dueCalls = sent + unsent;
      return {
        class: load.class,
        sent,
        unsent,
        attainment: computeRatio(met.all, dueCalls),
        firstTokenMet: computeRatio(met.first, dueCalls),
        betweenTokensMet: computeRatio(met.between, dueCalls),
        completionMet: computeRatio(met.completion, dueCalls),
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
