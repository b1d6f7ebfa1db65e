/** The deployments and cases that are measured. */
import type {EngineOptions} from '../engine/engine.js';

/** A class of a deployment, the highest tier first. */
export interface MeasuredClass {
  className: string;
  model: string;
  maximumTokens: number;
  /** Part of the offered tokens under mixed load. */
  mix: number;
}

/** One of the example sites, scaled to one machine. */
export interface Deployment {
  /** Requests at once on one warm server. */
  requests: number;
  startingRequests: number;
  entries: number;
  classes: readonly MeasuredClass[];
}

/** What happens in a run. */
export interface MeasuredCase {
  /** Offered load of each class as a part of the capacity, in class order. */
  computeLoads(classes: readonly MeasuredClass[]): number[];
  /** Changes of the first engine at its start. */
  firstEngine?: EngineOptions;
  /**
   * Part of the run at which the first engine turns cold without breaking a
   * stream; negative for before the run, with time for a report.
   */
  restartAtPart?: number;
  /** Changes of all engines at their start. */
  allEngines?: EngineOptions;
}

/**
 * Engines and targets are this many times slower than the real ones, so that
 * the engines and not the processor set the pace on one shared machine.
 */
export const SLOW_MOTION = 3;

/** The engine that all deployments use. */
export const engineOptions = {
  tokensPerSecond: 50 / SLOW_MOTION,
  halfRateRequests: 24,
  coldRequests: 2,
  warmAfterRequests: 12,
  prefillMs: 30 * SLOW_MOTION,
  startsWarm: true,
} as const satisfies EngineOptions;

/** The examples at a size that one shared machine carries. */
export const deployments: Readonly<Record<string, Deployment>> = {
  tunis: {
    requests: 8,
    startingRequests: 2,
    entries: 6,
    classes: [
      {className: 'on-site', model: 'inspector', maximumTokens: 30, mix: 0.3},
      {className: 'summary', model: 'inspector', maximumTokens: 60, mix: 0.4},
      {
        className: 'overnight',
        model: 'inspector',
        maximumTokens: 120,
        mix: 0.3,
      },
    ],
  },
  montevideo: {
    requests: 6,
    startingRequests: 2,
    entries: 6,
    classes: [
      {className: 'order', model: 'designer', maximumTokens: 20, mix: 0.25},
      {className: 'family', model: 'designer', maximumTokens: 40, mix: 0.25},
      {className: 'design', model: 'designer', maximumTokens: 60, mix: 0.25},
      {className: 'brief', model: 'writer', maximumTokens: 120, mix: 0.25},
    ],
  },
};

/** Slowest engine of the straggler case, as a part of the others' speed. */
const STRAGGLER_SPEED = 0.3;
const LAG_MS = 2000;

function spreadLoad(total: number) {
  return (classes: readonly MeasuredClass[]) =>
    classes.map(item => item.mix * total);
}

/** All cases by name. */
export const cases: Readonly<Record<string, MeasuredCase>> = {
  steady: {computeLoads: spreadLoad(0.7)},
  capacity: {computeLoads: spreadLoad(1)},
  burst: {
    // The second tier alone asks for three times the capacity.
    computeLoads: classes =>
      classes.map((item, index) => (index === 1 ? 3 : item.mix * 0.7)),
  },
  rush: {
    computeLoads: classes =>
      classes.map((item, index) => [0.5, 1][index] ?? item.mix),
  },
  cold: {
    computeLoads: spreadLoad(0.7),
    restartAtPart: -1,
  },
  relapse: {
    computeLoads: spreadLoad(0.7),
    restartAtPart: 0.25,
  },
  straggler: {
    computeLoads: spreadLoad(0.7),
    firstEngine: {
      tokensPerSecond: engineOptions.tokensPerSecond * STRAGGLER_SPEED,
    },
  },
  lag: {
    computeLoads: spreadLoad(0.9),
    allEngines: {loadLagMs: LAG_MS},
  },
};

/** Computes the tokens a second of one full engine. */
export function computeEngineRate(requests: number): number {
  const {tokensPerSecond, halfRateRequests} = engineOptions;
  return (requests * tokensPerSecond) / (1 + requests / halfRateRequests);
}
