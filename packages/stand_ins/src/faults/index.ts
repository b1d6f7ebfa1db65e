/** The fault matrix: every fault at every step, judged from the outside. */
export {runCell} from './cell.js';
export type {CellOptions, CellRun} from './cell.js';
export {Invariant, invariants} from './invariants.js';
export type {Verdict} from './invariants.js';
export {listCells, runCells} from './matrix.js';
export type {Cell, CellResult} from './matrix.js';
