/** The figures of a run, from what callers and engines saw. */
import type {RequestClass} from '@buckthornbeam/config';
import type {AnswerRecord} from './answer_record.js';
import {computeJainIndex, computeMaxMinShares} from './fairness.js';

/** Figures of one class; attainments are parts of all its requests. */
export interface ClassFigures {
  className: string;
  tier: number;
  requests: number;
  firstToken: number;
  betweenTokens: number;
  wholeAnswer: number;
  /** All three targets together. */
  attainment: number;
  /** Part of all answer tokens of the arrival window. */
  tokenShare: number;
  minimumShare: number;
  shed: number;
  preempted: number;
  otherProblems: number;
  firstTokenMsP95: number;
}

/** Figures of a run. */
export interface Figures {
  classes: ClassFigures[];
  /** Tokens a second of answers that met all targets, in the arrival window. */
  goodput: number;
  /** Tokens a second that engines made in the arrival window. */
  throughput: number;
  /** Part of the engines' tokens that no whole answer holds. */
  wasted: number;
  /** Over customers: tokens received against the max-min fair share. */
  jainIndex: number;
  unfinished: number;
  /** Lag of the load generator behind its plan, in milliseconds. */
  generatorLagMsP99: number;
}

/** Options of {@link computeFigures}. */
export interface FiguresOptions {
  records: readonly AnswerRecord[];
  classes: readonly RequestClass[];
  /** Length of the arrival window, in milliseconds. */
  windowMs: number;
  engineTokens: number;
  engineTokensInWindow: number;
  /** Streams that the router gave up, by tier. */
  preempted: ReadonlyMap<number, number>;
  unfinished: number;
  getWeight: (customerId: string) => number;
}

/** Problems by which the router refuses work for lack of room. */
const SHED_PROBLEMS = new Set(['overloaded', 'preempted']);

function computeQuantile(values: readonly number[], quantile: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const rank = Math.ceil(sorted.length * quantile) - 1;
  return sorted[Math.max(0, rank)] ?? 0;
}

/** Time to the first token from the planned arrival; infinite without one. */
function computeFirstTokenMs({arrival, tokenTimes}: AnswerRecord): number {
  return (tokenTimes[0] ?? Infinity) - arrival.atMs;
}

/** Mean time between the tokens of a whole answer. */
function computeBetweenMs({tokenTimes, isComplete}: AnswerRecord): number {
  const span = tokenTimes.at(-1)! - tokenTimes[0]!;
  return isComplete ? span / Math.max(1, tokenTimes.length - 1) : Infinity;
}

function computeWholeMs({arrival, endedAt, isComplete}: AnswerRecord): number {
  return isComplete ? endedAt - arrival.atMs : Infinity;
}

function hasMetTargets(record: AnswerRecord, {targets}: RequestClass): boolean {
  return (
    computeFirstTokenMs(record) <= targets.firstTokenMs &&
    computeBetweenMs(record) <= targets.betweenTokensMs &&
    computeWholeMs(record) <= targets.completionMs
  );
}

function countTokens(record: AnswerRecord, untilMs: number): number {
  return record.tokenTimes.filter(time => time <= untilMs).length;
}

function sumTokens(records: readonly AnswerRecord[], untilMs = Infinity) {
  return records.reduce((sum, item) => sum + countTokens(item, untilMs), 0);
}

function describeClass(
  options: FiguresOptions,
  requestClass: RequestClass,
): ClassFigures {
  const {name, tier, targets, minimumShare} = requestClass;
  const {windowMs} = options;
  const records = options.records.filter(
    record => record.arrival.className === name,
  );
  const computePart = (check: (record: AnswerRecord) => boolean) =>
    records.filter(check).length / Math.max(1, records.length);
  const total = Math.max(1, sumTokens(options.records, windowMs));
  const problems = records.filter(record => record.problem !== '');
  const shed = problems.filter(record => SHED_PROBLEMS.has(record.problem));
  return {
    className: name,
    tier,
    requests: records.length,
    firstToken: computePart(
      record => computeFirstTokenMs(record) <= targets.firstTokenMs,
    ),
    betweenTokens: computePart(
      record => computeBetweenMs(record) <= targets.betweenTokensMs,
    ),
    wholeAnswer: computePart(
      record => computeWholeMs(record) <= targets.completionMs,
    ),
    attainment: computePart(record => hasMetTargets(record, requestClass)),
    tokenShare: sumTokens(records, windowMs) / total,
    minimumShare,
    shed: shed.length,
    preempted: options.preempted.get(tier) ?? 0,
    otherProblems: problems.length - shed.length,
    firstTokenMsP95: computeQuantile(records.map(computeFirstTokenMs), 0.95),
  };
}

function computeFairness(options: FiguresOptions): number {
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

/** Computes all figures of a run. */
export function computeFigures(options: FiguresOptions): Figures {
  const {records, windowMs, engineTokens} = options;
  const byName = new Map(options.classes.map(item => [item.name, item]));
  const good = records.filter(record =>
    hasMetTargets(record, byName.get(record.arrival.className)!),
  );
  // What was cut at the end was under way and is no waste.
  const kept = records.filter(
    record => record.isComplete || record.problem === 'cut',
  );
  const lags = records.map(record => record.sentAt - record.arrival.atMs);
  const seconds = windowMs / 1000;
  return {
    classes: options.classes.map(item => describeClass(options, item)),
    goodput: sumTokens(good, windowMs) / seconds,
    throughput: options.engineTokensInWindow / seconds,
    wasted: Math.max(0, 1 - sumTokens(kept) / Math.max(1, engineTokens)),
    jainIndex: computeFairness(options),
    unfinished: options.unfinished,
    generatorLagMsP99: computeQuantile(lags, 0.99),
  };
}
