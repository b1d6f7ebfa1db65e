/**
 * Mutation test of the fault suite (`npm run mutants`): applies one code change
 * of mutants.json at a time to a scratch work tree and runs the cells (a fault at
 * a step) in which the invariant must fail. Arguments select invariants.
 */
import {spawnSync} from 'node:child_process';
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const scratch = join(
  mkdtempSync(join(tmpdir(), 'buckthornbeam-mutants-')),
  'tree',
);
const selected = process.argv.slice(2);
const mutants = JSON.parse(readFileSync('scripts/mutants.json', 'utf8')).filter(
  ({invariant}) => selected.length === 0 || selected.includes(invariant),
);

function run(command, args, cwd = scratch) {
  return spawnSync(command, args, {cwd, encoding: 'utf8'});
}

function runOrThrow(command, args, cwd) {
  const {status, stdout, stderr} = run(command, args, cwd);
  if (status !== 0) {
    throw new Error(`${command} ${args.join(' ')}: ${stdout}${stderr}`);
  }
}

/** Runs the cells of a mutant and returns the result of its invariant in each. */
function runCells({invariant, cells}) {
  return cells.map(([fault, step]) => {
    run(process.execPath, [
      'packages/stand_ins/dist/src/faults/main.js',
      ...['--fault', fault, '--step', step, '--only', invariant],
    ]);
    const report = join(scratch, 'reports/faults.json');
    if (!existsSync(report)) {
      return 'broke';
    }
    const {results} = JSON.parse(readFileSync(report, 'utf8'));
    rmSync(report);
    const verdict = results[0].run?.verdicts[0];
    return verdict?.result ?? `broke: ${results[0].error}`;
  });
}

/** Applies a mutant, builds, runs its cells and restores the file. */
function checkMutant(mutant) {
  const {file, search, replace} = mutant;
  const path = join(scratch, file);
  const original = readFileSync(path, 'utf8');
  if (original.split(search).length !== 2) {
    return 'stale: the search text does not occur exactly once';
  }
  writeFileSync(
    path,
    original.replace(search, () => replace),
  );
  const build = run('npx', ['tsc', '-b']);
  const results =
    build.status === 0 ? runCells(mutant) : [`does not build: ${build.stdout}`];
  writeFileSync(path, original);
  if (results.includes('failed')) {
    return 'caught';
  }
  return `not caught: ${results.join(', ')}`;
}

runOrThrow('git', ['worktree', 'add', '--detach', scratch, 'HEAD'], '.');
let missed = 0;
try {
  runOrThrow('npm', ['ci', '--ignore-scripts', '--prefer-offline']);
  for (const mutant of mutants) {
    const result = checkMutant(mutant);
    missed += result === 'caught' ? 0 : 1;
    const cells = mutant.cells.map(cell => cell.join(' at ')).join(', ');
    console.log(`${mutant.invariant}: ${mutant.fault}; ${cells}: ${result}`);
  }
} finally {
  runOrThrow('git', ['worktree', 'remove', '--force', scratch], '.');
}
console.log(`${mutants.length - missed} caught, ${missed} missed`);
process.exitCode = missed > 0 ? 1 : 0;
