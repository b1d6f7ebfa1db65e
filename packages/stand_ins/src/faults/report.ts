/** Reports of the fault matrix: a summary for JSON and an HTML page. */
import type {CellRun} from './cell.js';
import {invariants} from './invariants.js';
import type {Cell, CellResult} from './matrix.js';
import {steps} from './steps.js';

export interface Summary {
  cells: number;
  runs: number;
  /** Cells whose faults cannot occur at their step. */
  absent: number;
  /** Runs that threw or whose probe missed its step. */
  void: number;
  passed: number;
  failed: number;
  /** Verdicts without evidence in their run. */
  notApplicable: number;
  seeds: number[];
  byInvariant: Record<string, {passed: number; failed: number}>;
  failures: Array<{
    faults: string[];
    step: string;
    seed: number;
    invariant: string;
    details: string[];
  }>;
}

const DETAILS_PER_FAILURE = 3;

export function buildSummary(
  cells: readonly Cell[],
  results: readonly CellResult[],
): Summary {
  const runs = results.flatMap(result =>
    result.run?.isReached ? [result.run] : [],
  );
  const verdicts = runs.flatMap(run => run.verdicts);
  const count = (result: string, of = verdicts) =>
    of.filter(verdict => verdict.result === result).length;
  return {
    cells: cells.length,
    runs: runs.length,
    absent: cells.filter(cell => cell.absence !== undefined).length,
    void: results.length - runs.length,
    passed: count('passed'),
    failed: count('failed'),
    notApplicable: count('not_applicable'),
    seeds: [...new Set(cells.map(cell => cell.seed))],
    byInvariant: Object.fromEntries(
      invariants.map(name => {
        const own = verdicts.filter(verdict => verdict.invariant === name);
        return [
          name,
          {passed: count('passed', own), failed: count('failed', own)},
        ];
      }),
    ),
    failures: runs.flatMap(run =>
      run.verdicts
        .filter(verdict => verdict.result === 'failed')
        .map(({invariant, details}) => ({
          faults: run.faults,
          step: run.step,
          seed: run.seed,
          invariant,
          details: details.slice(0, DETAILS_PER_FAILURE),
        })),
    ),
  };
}

const BUCKET_MS = 500;
const PLOT = {width: 560, height: 90, msPerPixel: 25};
/** Target for the first token of the highest tier. */
const FIRST_TOKEN_TARGET_MS = 410;

function renderPlot(run: CellRun): string {
  const answers = run.answers.filter(answer =>
    answer.requestId.startsWith('on-site'),
  );
  const startsAt = Math.min(...answers.map(answer => answer.startedAt));
  const buckets = new Map<number, {met: number; all: number}>();
  for (const {startedAt, firstTokenAt = Infinity, isWhole} of answers) {
    const key = Math.floor((startedAt - startsAt) / BUCKET_MS);
    const bucket = buckets.get(key) ?? {met: 0, all: 0};
    bucket.all += 1;
    const isMet = isWhole && firstTokenAt - startedAt <= FIRST_TOKEN_TARGET_MS;
    bucket.met += isMet ? 1 : 0;
    buckets.set(key, bucket);
  }
  const toX = (ms: number) => Math.round(ms / PLOT.msPerPixel);
  const points = [...buckets]
    .sort(([a], [b]) => a - b)
    .map(([key, {met, all}]) => {
      const y = PLOT.height - (PLOT.height * met) / all;
      return `${toX(key * BUCKET_MS)},${Math.round(y)}`;
    });
  const from = toX(run.injectedAt - startsAt);
  const width = toX(run.healedAt - run.injectedAt);
  return (
    `<figure><figcaption>${run.faults.join(' + ')} at ${run.step}</figcaption>` +
    `<svg width="${PLOT.width}" height="${PLOT.height}">` +
    `<rect x="${from}" width="${width}" height="${PLOT.height}"/>` +
    `<polyline points="${points.join(' ')}"/></svg></figure>`
  );
}

function renderCell(cell: Cell, results: readonly CellResult[]): string {
  if (cell.absence !== undefined) {
    return `<td class="absent" title="${cell.absence}">–</td>`;
  }
  const run = results.find(result => result.cell === cell)?.run;
  if (!run?.isReached) {
    return '<td class="void">void</td>';
  }
  const failed = run.verdicts.filter(verdict => verdict.result === 'failed');
  const applicable = run.verdicts.filter(
    verdict => verdict.result !== 'not_applicable',
  );
  const title = failed.map(verdict => verdict.invariant).join(', ');
  const name = failed.length > 0 ? 'failed' : 'passed';
  return `<td class="${name}" title="${title}">${applicable.length - failed.length}/${applicable.length}</td>`;
}

const STYLE =
  'body{font:14px sans-serif}td,th{padding:2px 6px;border:1px solid #ccc}' +
  '.passed{background:#cfc}.failed{background:#fbb}.absent{color:#999}' +
  '.void{background:#ffb}rect{fill:#fdd}polyline{fill:none;stroke:#036}';

/** Renders the grid and the plots as an HTML page without external resources. */
export function renderPage(
  cells: readonly Cell[],
  results: readonly CellResult[],
): string {
  const names = [...new Set(cells.map(cell => describeFaults(cell)))];
  const rows = names.map(name => {
    const own = cells.filter(cell => describeFaults(cell) === name);
    const columns = steps.map(step => {
      const cell = own.find(item => item.step === step);
      return cell ? renderCell(cell, results) : '<td></td>';
    });
    return `<tr><th>${name}</th>${columns.join('')}</tr>`;
  });
  const head = steps.map(step => `<th>${step.name}</th>`).join('');
  const plots = results
    .flatMap(({run}) => (run?.isReached ? [run] : []))
    .filter(run => run.step === 'mid-stream' || run.step === 'ticket-presented')
    .map(renderPlot);
  return (
    '<!doctype html><meta charset="utf-8"><title>Fault matrix</title>' +
    `<style>${STYLE}</style><h1>Fault matrix</h1>` +
    '<p>Invariants that held, of those that the run has evidence for.</p>' +
    `<table><tr><th></th>${head}</tr>${rows.join('')}</table>` +
    '<h2>Target attainment of the highest tier before, during and after the fault</h2>' +
    plots.join('')
  );
}

function describeFaults(cell: Cell): string {
  return cell.faults.map(fault => fault.name).join(' + ');
}
