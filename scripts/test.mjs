/**
 * Runs the compiled test files, each in its own process. The last line of the
 * output is `N passed, N failed`. Failures of tests listed in KNOWN-RED.txt are
 * printed and counted as skipped. Arguments select files by a part of their path.
 * Some files run alone, after all others.
 */
import {spawn} from 'node:child_process';
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  readdirSync,
  rmSync,
} from 'node:fs';
import {availableParallelism, tmpdir} from 'node:os';
import {join} from 'node:path';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const FILE_TIMEOUT_MS = 600_000;
/** Time that a process has to exit after its last test. */
const EXIT_GRACE_MS = 10_000;
/** Matches the last line that uvu prints after all tests of a file. */
const SUMMARY_END = /^ {2}Duration: /m;
/** Files that measure a whole process; other load would change what they measure. */
const FILES_THAT_RUN_ALONE = ['untrusted_clients.spec.js'];
const workerCount = Math.max(2, Math.floor(availableParallelism() / 3));

/** Lists the compiled test files (dist/__tests__) that still have a source file. */
function listTestFiles() {
  const packages = readdirSync('packages').map(name => join('packages', name));
  return [...packages, 'platform'].flatMap(folder => {
    const source = join(folder, '__tests__');
    if (!existsSync(source)) {
      return [];
    }
    return readdirSync(source, {recursive: true})
      .filter(file => file.endsWith('.spec.ts'))
      .map(file =>
        join(folder, 'dist', '__tests__', file).replace(/\.ts$/, '.js'),
      )
      .sort();
  });
}

/** Reads the names of tests that are known to fail, from lines `test: NAME`. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) {
    return new Set();
  }
  const text = readFileSync(KNOWN_RED_FILE, 'utf8');
  return new Set(
    [...text.matchAll(/^test: (.+)$/gm)].map(match => match[1].trim()),
  );
}

function runFile(file, reportFile) {
  return new Promise(resolve => {
    const child = spawn(process.execPath, ['--enable-source-maps', file], {
      env: {...process.env, BUCKTHORNBEAM_TEST_REPORT: reportFile},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    let output = '';
    let graceTimer;
    const killLingering = () => {
      console.log(
        `warning: ${file} kept handles open after its last test and was killed`,
      );
      child.kill('SIGKILL');
    };
    const collect = bytes => {
      output += bytes;
      if (graceTimer === undefined && SUMMARY_END.test(output)) {
        graceTimer = setTimeout(killLingering, EXIT_GRACE_MS);
      }
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    const timer = setTimeout(() => child.kill('SIGKILL'), FILE_TIMEOUT_MS);
    child.on('exit', code => {
      clearTimeout(timer);
      clearTimeout(graceTimer);
      // A process that was killed after its last test has run all tests.
      const hasRunAll = SUMMARY_END.test(output);
      resolve({file, code: hasRunAll && code === null ? 0 : code, output});
    });
  });
}

function readResults(reportFile, {file, code}) {
  const results = existsSync(reportFile)
    ? JSON.parse(readFileSync(reportFile, 'utf8'))
    : [];
  const hasFailure = results.some(result => !result.passed);
  if (results.length === 0 || (code !== 0 && !hasFailure)) {
    // A file that reports no test, or exits with an error although no test failed,
    // counts as one failure.
    results.push({name: file, passed: false});
  }
  return results;
}

async function runAll(files, directory) {
  const totals = {passed: 0, failed: 0, skipped: 0};
  const knownRed = readKnownRed();
  async function runWorker(queue) {
    for (let file = queue.shift(); file; file = queue.shift()) {
      const reportFile = join(directory, `${files.indexOf(file)}.json`);
      const run = await runFile(file, reportFile);
      const results = readResults(reportFile, run);
      const failures = results.filter(result => !result.passed);
      totals.passed += results.length - failures.length;
      for (const {name} of failures) {
        const isKnown = knownRed.has(name);
        totals[isKnown ? 'skipped' : 'failed'] += 1;
        console.log(`${isKnown ? 'known red' : 'FAILED'}: ${name}`);
      }
      console.log(`${failures.length === 0 ? 'ok' : 'not ok'} ${run.file}`);
      if (failures.length > 0) {
        console.log(run.output);
      }
    }
  }
  const runsAlone = file =>
    FILES_THAT_RUN_ALONE.some(name => file.endsWith(name));
  const shared = files.filter(file => !runsAlone(file));
  await Promise.all(Array.from({length: workerCount}, () => runWorker(shared)));
  await runWorker(files.filter(runsAlone));
  return totals;
}

const selected = process.argv.slice(2);
const files = listTestFiles().filter(
  file => selected.length === 0 || selected.some(text => file.includes(text)),
);
const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-tests-'));
const {passed, failed, skipped} = await runAll(files, directory);
rmSync(directory, {recursive: true, force: true});
const suffix = skipped > 0 ? `, ${skipped} skipped` : '';
console.log(`${passed} passed, ${failed} failed${suffix}`);
process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
