/** Computes the metrics of a run from the records of callers and engines. */
import type {RequestClass} from '@buckthornbeam/config';
import type {AnswerRecord} from './answer_record.js';
import {computeJainIndex, computeMaxMinShares} from './fairness.js';

/**
 * Metrics of one class. `firstToken`, `betweenTokens`, `wholeAnswer` and
 * `attainment` are the fractions of its requests that met the target.
 */
export interface ClassMetrics {
  className: string;
  tier: number;
  requests: number;
  firstToken: number;
  betweenTokens: number;
  wholeAnswer: number;
  /** Fraction that met all three targets. */
  attainment: number;
  /** Fraction of the answer tokens received in the arrival window. */
  tokenShare: number;
  minimumShare: number;
  shed: number;
  preempted: number;
  otherProblems: number;
  firstTokenMsP95: number;
}

export interface RunMetrics {
  classes: ClassMetrics[];
  /** Tokens per second in the arrival window, of answers that met all targets. */
  goodput: number;
  /** Tokens per second that engines generated in the arrival window. */
  throughput: number;
  /** Fraction of the generated tokens that belong to no complete answer. */
  wasted: number;
  /** Jain's index over customers of received tokens relative to the max-min fair share. */
  jainIndex: number;
  unfinished: number;
  /** Delay between the planned and the actual sending, in milliseconds. */
  generatorLagMsP99: number;
}

/** Options of {@link computeMetrics}. */
export interface MetricsOptions {
  records: readonly AnswerRecord[];
  classes: readonly RequestClass[];
  /** Length of the arrival window, in milliseconds. */
  windowMs: number;
  engineTokens: number;
  engineTokensInWindow: number;
  /** Streams that the router cancelled, by tier. */
  preempted: ReadonlyMap<number, number>;
  unfinished: number;
  getWeight: (customerId: string) => number;
}

/** Error codes of requests that the router rejects for lack of capacity. */
const SHED_PROBLEMS = new Set(['overloaded', 'preempted']);

function computeQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil(sorted.length * quantile) - 1;
  return sorted[Math.max(0, rank)] ?? 0;
}

/** Time from the planned arrival to the first token; infinite without one. */
function computeFirstTokenMs({arrival, tokenTimes}: AnswerRecord): number {
  return (tokenTimes[0] ?? Infinity) - arrival.atMs;
}

/** Mean time between tokens; infinite for an incomplete answer. */
function computeMeanTokenGapMs({tokenTimes, isComplete}: AnswerRecord): number {
  const span = tokenTimes.at(-1)! - tokenTimes[0]!;
  return isComplete ? span / Math.max(1, tokenTimes.length - 1) : Infinity;
}

function computeCompletionMs({
  arrival,
  endedAt,
  isComplete,
}: AnswerRecord): number {
  return isComplete ? endedAt - arrival.atMs : Infinity;
}

function hasMetTargets(record: AnswerRecord, {targets}: RequestClass): boolean {
  return (
    computeFirstTokenMs(record) <= targets.firstTokenMs &&
    computeMeanTokenGapMs(record) <= targets.betweenTokensMs &&
    computeCompletionMs(record) <= targets.completionMs
  );
}

function countTokens(record: AnswerRecord, untilMs: number): number {
  return record.tokenTimes.filter(time => time <= untilMs).length;
}

function sumTokens(records: readonly AnswerRecord[], untilMs = Infinity) {
  return records.reduce((sum, item) => sum + countTokens(item, untilMs), 0);
}

function computeClassMetrics(
  options: MetricsOptions,
  requestClass: RequestClass,
): ClassMetrics {
  const {name, tier, targets, minimumShare} = requestClass;
  const {windowMs} = options;
  const records = options.records.filter(
    record => record.arrival.className === name,
  );
  const computeRatio = (check: (record: AnswerRecord) => boolean) =>
    records.filter(check).length / Math.max(1, records.length);
  const total = Math.max(1, sumTokens(options.records, windowMs));
  const problems = records.filter(record => record.problem !== '');
  const shed = problems.filter(record => SHED_PROBLEMS.has(record.problem));
  return {
    className: name,
    tier,
    requests: records.length,
    firstToken: computeRatio(
      record => computeFirstTokenMs(record) <= targets.firstTokenMs,
    ),
    betweenTokens: computeRatio(
      record => computeMeanTokenGapMs(record) <= targets.betweenTokensMs,
    ),
    wholeAnswer: computeRatio(
      record => computeCompletionMs(record) <= targets.completionMs,
    ),
    attainment: computeRatio(record => hasMetTargets(record, requestClass)),
    tokenShare: sumTokens(records, windowMs) / total,
    minimumShare,
    shed: shed.length,
    preempted: options.preempted.get(tier) ?? 0,
    otherProblems: problems.length - shed.length,
    firstTokenMsP95: computeQuantile(records.map(computeFirstTokenMs), 0.95),
  };
}

function computeFairness(options: MetricsOptions): number {
  const {records, windowMs, getWeight} = options;
  const customers = new Map<string, {demand: number; received: number}>();
  for (const record of records) {
    const {customerId, maximumTokens} = record.arrival;
    const entry = customers.get(customerId) ?? {demand: 0, received: 0};
    customers.set(customerId, entry);
    entry.demand += record.isComplete
      ? record.tokenTimes.length
      : maximumTokens;
    entry.received += countTokens(record, windowMs);
  }
  const list = [...customers].map(([id, entry]) => ({
    ...entry,
    weight: getWeight(id),
  }));
  const total = list.reduce((sum, item) => sum + item.received, 0);
  const shares = computeMaxMinShares(list, total);
  return computeJainIndex(
    list.map((item, index) => item.received / Math.max(1, shares[index]!)),
  );
}

export function computeMetrics(options: MetricsOptions): RunMetrics {
  const {records, windowMs, engineTokens} = options;
  const byName = new Map(options.classes.map(item => [item.name, item]));
  const withinTargets = records.filter(record =>
    hasMetTargets(record, byName.get(record.arrival.className)!),
  );
  // Answers cut at the end of the run were in progress: their tokens are not wasted.
  const notWasted = records.filter(
    record => record.isComplete || record.problem === 'cut',
  );
  const lags = records.map(record => record.sentAt - record.arrival.atMs);
  const seconds = windowMs / 1000;
  return {
    classes: options.classes.map(item => computeClassMetrics(options, item)),
    goodput: sumTokens(withinTargets, windowMs) / seconds,
    throughput: options.engineTokensInWindow / seconds,
    wasted: Math.max(0, 1 - sumTokens(notWasted) / Math.max(1, engineTokens)),
    jainIndex: computeFairness(options),
    unfinished: options.unfinished,
    generatorLagMsP99: computeQuantile(lags, 0.99),
  };
}
