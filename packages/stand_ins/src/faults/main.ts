/** `npm run faults`: runs the fault matrix and writes its reports. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {parseArgs} from 'node:util';
import {invariants} from './invariants.js';
import type {Invariant} from './invariants.js';
import {listCells, runCells} from './matrix.js';
import type {CellResult} from './matrix.js';
import {buildSummary, renderPage} from './report.js';

const REPORT_DIRECTORY = 'reports';

const {values} = parseArgs({
  options: {
    only: {type: 'string'},
    fault: {type: 'string'},
    step: {type: 'string'},
    seed: {type: 'string', default: '1'},
    pairs: {type: 'string'},
    sample: {type: 'string'},
    parallel: {type: 'string', default: '2'},
    json: {type: 'boolean', default: false},
    logs: {type: 'boolean', default: false},
    list: {type: 'boolean', default: false},
  },
});

function writeLine(line: string): void {
  process.stderr.write(`${line}\n`);
}

function describeResult({run, error}: CellResult): string {
  if (!run) {
    return `run failed: ${error}`;
  }
  if (!run.isReached) {
    return 'void: the step was not reached';
  }
  const failed = run.verdicts.filter(verdict => verdict.result === 'failed');
  return failed.length === 0
    ? 'passed'
    : failed
        .map(({invariant, details}) => `FAILED ${invariant}: ${details[0]}`)
        .join('; ');
}

async function runMatrix(): Promise<number> {
  const cells = listCells({
    fault: values.fault,
    step: values.step,
    seed: Number(values.seed),
    ...(values.sample ? {sample: Number(values.sample)} : {}),
    ...(values.pairs ? {pairs: Number(values.pairs)} : {}),
  });
  if (values.list) {
    for (const {faults, step, absence = 'runs'} of cells) {
      const names = faults.map(fault => fault.name).join(' + ');
      process.stdout.write(`${names} at ${step.name}: ${absence}\n`);
    }
    return 0;
  }
  const only = values.only ? [values.only as Invariant] : invariants;
  const results = await runCells(cells, {
    parallel: Number(values.parallel),
    only,
    onResult: (result, done, total) => {
      const {faults, step, seed} = result.cell;
      const names = faults.map(fault => fault.name).join(' + ');
      const seconds = Math.round((result.run?.durationMs ?? 0) / 1000);
      writeLine(
        `${done}/${total} ${names} at ${step.name} (seed ${seed}, ${seconds} s): ${describeResult(result)}`,
      );
      if (values.logs) {
        writeLine((result.run?.logs ?? []).join('\n'));
      }
    },
  });
  const summary = buildSummary(cells, results);
  mkdirSync(REPORT_DIRECTORY, {recursive: true});
  writeFileSync(
    `${REPORT_DIRECTORY}/faults.json`,
    JSON.stringify({summary, results}, undefined, 1),
  );
  writeFileSync(`${REPORT_DIRECTORY}/faults.html`, renderPage(cells, results));
  if (values.json) {
    process.stdout.write(`${JSON.stringify(summary)}\n`);
  } else {
    const {runs, passed, failed, absent, notApplicable} = summary;
    process.stdout.write(
      `${runs} runs, ${summary.void} void, ${absent} cells cannot happen; ` +
        `verdicts: ${passed} passed, ${failed} failed, ${notApplicable} without evidence\n`,
    );
  }
  return summary.failed > 0 || summary.void > 0 ? 1 : 0;
}

process.exitCode = await runMatrix();
