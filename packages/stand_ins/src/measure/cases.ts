/** The deployments and cases of the measurements. */
import type {EngineOptions} from '../engine/engine.js';

export interface MeasuredClass {
  className: string;
  model: string;
  maximumTokens: number;
  /** Ratio of the class's offered tokens to those of all classes, under mixed load. */
  tokenRatio: number;
}

/** An example deployment, scaled down to run on one shared machine. */
export interface Deployment {
  /** Concurrent requests of one warm server. */
  requests: number;
  startingRequests: number;
  entries: number;
  /** The highest tier first. */
  classes: readonly MeasuredClass[];
}

export interface MeasuredCase {
  /** Computes the offered load of each class as a ratio of the capacity. */
  computeLoads(classes: readonly MeasuredClass[]): number[];
  /** Options of the first engine that differ from the others. */
  firstEngine?: EngineOptions;
  /**
   * Fraction of the run after which the first engine becomes cold without
   * breaking streams; negative: before the run, early enough for a load report.
   */
  restartAtFraction?: number;
  /** Options of all engines that differ from the default. */
  allEngines?: EngineOptions;
}

/**
 * Slows down engines and latency targets by this factor, so that on one shared
 * machine the engines are the bottleneck and not the processor.
 */
export const SLOWDOWN_RATIO = 3;

export const engineOptions = {
  tokensPerSecond: 50 / SLOWDOWN_RATIO,
  halfRateRequests: 24,
  coldRequests: 2,
  warmAfterRequests: 12,
  prefillMs: 30 * SLOWDOWN_RATIO,
  startsWarm: true,
} as const satisfies EngineOptions;

export const deployments: Readonly<Record<string, Deployment>> = {
  tunis: {
    requests: 8,
    startingRequests: 2,
    entries: 6,
    classes: [
      {
        className: 'on-site',
        model: 'inspector',
        maximumTokens: 30,
        tokenRatio: 0.3,
      },
      {
        className: 'summary',
        model: 'inspector',
        maximumTokens: 60,
        tokenRatio: 0.4,
      },
      {
        className: 'overnight',
        model: 'inspector',
        maximumTokens: 120,
        tokenRatio: 0.3,
      },
    ],
  },
  montevideo: {
    requests: 6,
    startingRequests: 2,
    entries: 6,
    classes: [
      {
        className: 'order',
        model: 'designer',
        maximumTokens: 20,
        tokenRatio: 0.25,
      },
      {
        className: 'family',
        model: 'designer',
        maximumTokens: 40,
        tokenRatio: 0.25,
      },
      {
        className: 'design',
        model: 'designer',
        maximumTokens: 60,
        tokenRatio: 0.25,
      },
      {
        className: 'brief',
        model: 'writer',
        maximumTokens: 120,
        tokenRatio: 0.25,
      },
    ],
  },
};

/** Speed of the slow engine in the straggler case, relative to the others. */
const STRAGGLER_SPEED_RATIO = 0.3;
const LOAD_REPORT_LAG_MS = 2000;

function computeProportionalLoads(loadRatio: number) {
  return (classes: readonly MeasuredClass[]) =>
    classes.map(item => item.tokenRatio * loadRatio);
}

export const cases: Readonly<Record<string, MeasuredCase>> = {
  steady: {computeLoads: computeProportionalLoads(0.7)},
  capacity: {computeLoads: computeProportionalLoads(1)},
  burst: {
    // The second tier alone offers three times the capacity.
    computeLoads: classes =>
      classes.map((item, index) => (index === 1 ? 3 : item.tokenRatio * 0.7)),
  },
  rush: {
    computeLoads: classes =>
      classes.map((item, index) => [0.5, 1][index] ?? item.tokenRatio),
  },
  cold: {
    computeLoads: computeProportionalLoads(0.7),
    restartAtFraction: -1,
  },
  relapse: {
    computeLoads: computeProportionalLoads(0.7),
    restartAtFraction: 0.25,
  },
  straggler: {
    computeLoads: computeProportionalLoads(0.7),
    firstEngine: {
      tokensPerSecond: engineOptions.tokensPerSecond * STRAGGLER_SPEED_RATIO,
    },
  },
  lag: {
    computeLoads: computeProportionalLoads(0.9),
    allEngines: {loadLagMs: LOAD_REPORT_LAG_MS},
  },
};

/** Computes the tokens per second of an engine that runs `requests` at once. */
export function computeEngineRate(requests: number): number {
  const {tokensPerSecond, halfRateRequests} = engineOptions;
  return (requests * tokensPerSecond) / (1 + requests / halfRateRequests);
}
