/** The matrix: which cells there are, and their runs in a few clusters at once. */
import {createRandom, pickOne} from '@buckthornbeam/shared';
import {runCell} from './cell.js';
import type {CellRun} from './cell.js';
import {faults} from './faults.js';
import type {Fault} from './faults.js';
import type {Invariant} from './invariants.js';
import {steps} from './steps.js';
import type {Step} from './steps.js';

/** A cell that is to run, or the reason why it cannot. */
export interface Cell {
  step: Step;
  faults: Fault[];
  seed: number;
  /** Why the cell cannot happen; undefined where it can. */
  absence: string | undefined;
}

/** Options of {@link listCells}. */
export interface CellFilter {
  /** Names, or beginnings of names, of faults and steps. */
  fault?: string | undefined;
  step?: string | undefined;
  seed?: number;
  /** Pairs of faults to draw by the seed, instead of single faults. */
  pairs?: number;
}

/** Lists the cells of the matrix that the filter selects. */
export function listCells(filter: CellFilter = {}): Cell[] {
  const {fault: faultPart = '', step: stepPart = '', seed = 1} = filter;
  const chosenFaults = faults.filter(({name}) => name.startsWith(faultPart));
  const chosenSteps = steps.filter(({name}) => name.startsWith(stepPart));
  if (filter.pairs !== undefined) {
    return pickPairs(chosenSteps, chosenFaults, filter.pairs, seed);
  }
  return chosenFaults.flatMap(fault =>
    chosenSteps.map(step => ({
      step,
      faults: [fault],
      seed,
      absence: fault.explainAbsence(step),
    })),
  );
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
    const canHappen = (fault: Fault) =>
      fault.explainAbsence(step) === undefined;
    const first = pickOne(firstFaults.filter(canHappen), random);
    const others = faults.filter(fault => fault !== first && canHappen(fault));
    return {
      step,
      faults: [first, pickOne(others, random)],
      seed: seed + index,
      absence: undefined,
    };
  });
}

/** Result of one cell; `error` when the run itself broke. */
export interface CellResult {
  cell: Cell;
  run?: CellRun;
  error?: string;
}

/** Options of {@link runCells}. */
export interface RunOptions {
  /** Clusters at once. */
  parallel?: number;
  only?: readonly Invariant[];
  onResult?: (result: CellResult, done: number, total: number) => void;
}

const DEFAULT_PARALLEL = 2;

/** Runs the cells that can happen. */
export async function runCells(
  cells: readonly Cell[],
  options: RunOptions = {},
): Promise<CellResult[]> {
  const {parallel = DEFAULT_PARALLEL, only, onResult} = options;
  const runnable = cells.filter(cell => cell.absence === undefined);
  const results: CellResult[] = [];
  let next = 0;

  async function runOne(cell: Cell): Promise<CellResult> {
    try {
      const run = await runCell({...cell, ...(only ? {only} : {})});
      return {cell, run};
    } catch (error) {
      return {cell, error: String((error as Error).stack ?? error)};
    }
  }

  async function runWorker(): Promise<void> {
    while (next < runnable.length) {
      const result = await runOne(runnable[next++]!);
      results.push(result);
      onResult?.(result, results.length, runnable.length);
    }
  }

  await Promise.all(Array.from({length: parallel}, runWorker));
  return results;
}
