/** Lists the cells of the fault matrix and runs several of them concurrently. */
import {createRandom, pickOne} from '@buckthornbeam/shared';
import {runCell} from './cell.js';
import type {CellRun} from './cell.js';
import {faults} from './faults.js';
import type {Fault} from './faults.js';
import type {Invariant} from './invariants.js';
import {steps} from './steps.js';
import type {Step} from './steps.js';

/** A step with the faults that are injected at it. */
export interface Cell {
  step: Step;
  faults: Fault[];
  seed: number;
  /** Why the faults cannot occur at the step; undefined if they can. */
  absence: string | undefined;
}

/** Options of {@link listCells}. */
export interface CellFilter {
  /** Prefixes of the names of faults and steps. */
  fault?: string | undefined;
  step?: string | undefined;
  seed?: number;
  /** Number of pairs of faults to draw with the seed, instead of single faults. */
  pairs?: number;
  /** Number of cells to draw with the seed, instead of all that can occur. */
  sample?: number;
}

/** Lists the cells of the matrix that the filter selects. */
export function listCells(filter: CellFilter = {}): Cell[] {
  const {fault: faultPrefix = '', step: stepPrefix = '', seed = 1} = filter;
  const chosenFaults = faults.filter(({name}) => name.startsWith(faultPrefix));
  const chosenSteps = steps.filter(({name}) => name.startsWith(stepPrefix));
  if (filter.pairs !== undefined) {
    return pickPairs(chosenSteps, chosenFaults, filter.pairs, seed);
  }
  const cells = chosenFaults.flatMap(fault =>
    chosenSteps.map(step => ({
      step,
      faults: [fault],
      seed,
      absence: fault.explainAbsence(step),
    })),
  );
  return filter.sample === undefined
    ? cells
    : pickSample(cells, filter.sample, seed);
}

/** Draws cells at random from those that can occur. */
function pickSample(cells: Cell[], count: number, seed: number): Cell[] {
  const random = createRandom(seed);
  const candidates = cells.filter(cell => cell.absence === undefined);
  const drawn: Cell[] = [];
  while (drawn.length < count && candidates.length > 0) {
    drawn.push(...candidates.splice(random.nextInt(candidates.length), 1));
  }
  return drawn;
}

function pickPairs(
  chosenSteps: readonly Step[],
  firstFaults: readonly Fault[],
  count: number,
  seed: number,
): Cell[] {
  return Array.from({length: count}, (_, index) => {
    const random = createRandom(seed + index);
    const step = pickOne(chosenSteps, random);
    const canOccur = (fault: Fault) => fault.explainAbsence(step) === undefined;
    const first = pickOne(firstFaults.filter(canOccur), random);
    const others = faults.filter(fault => fault !== first && canOccur(fault));
    return {
      step,
      faults: [first, pickOne(others, random)],
      seed: seed + index,
      absence: undefined,
    };
  });
}

/** Result of one cell; `error` is set instead of `run` if the run threw. */
export interface CellResult {
  cell: Cell;
  run?: CellRun;
  error?: string;
}

/** Options of {@link runCells}. */
export interface RunOptions {
  /** Number of test clusters that run concurrently. */
  parallel?: number;
  /** Invariants to check; all by default. */
  only?: readonly Invariant[];
  onResult?: (result: CellResult, done: number, total: number) => void;
}

const DEFAULT_PARALLEL_RUNS = 2;

/** Runs the cells that can occur; the results are in order of completion. */
export async function runCells(
  cells: readonly Cell[],
  options: RunOptions = {},
): Promise<CellResult[]> {
  const {parallel = DEFAULT_PARALLEL_RUNS, only, onResult} = options;
  const runnable = cells.filter(cell => cell.absence === undefined);
  const results: CellResult[] = [];
  let next = 0;

  async function runOneCell(cell: Cell): Promise<CellResult> {
    try {
      const run = await runCell({...cell, ...(only ? {only} : {})});
      return {cell, run};
    } catch (error) {
      return {cell, error: String((error as Error).stack ?? error)};
    }
  }

  async function runWorker(): Promise<void> {
    while (next < runnable.length) {
      const result = await runOneCell(runnable[next++]!);
      results.push(result);
      onResult?.(result, results.length, runnable.length);
    }
  }

  await Promise.all(Array.from({length: parallel}, runWorker));
  return results;
}
