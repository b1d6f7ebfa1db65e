/**
 * The fault matrix: injects each fault at each step of a request and checks
 * invariants against what callers and servers observed.
 */
export {runCell} from './cell.js';
export type {CellOptions, CellRun} from './cell.js';
export {Invariant, invariants} from './invariants.js';
export type {Verdict} from './invariants.js';
export {listCells, runCells} from './matrix.js';
export type {Cell, CellResult} from './matrix.js';
