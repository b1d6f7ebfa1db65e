/**
 * Runs the compiled test files, each in its own process, and prints the plain
 * line `N passed, N failed`. Failures listed in KNOWN-RED.txt are printed and
 * counted as skipped. Arguments select files by a part of their path.
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
/** Time for a process to end by itself after its last test, in milliseconds. */
const EXIT_GRACE_MS = 10_000;
/** Last line that uvu prints after all tests of a file. */
const LAST_LINE = /^ {2}Duration: /m;
const parallel = Math.max(2, Math.floor(availableParallelism() / 3));

/** Test files: PACKAGE/dist/__tests__/**.spec.js with a source. */
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

/** Names of tests that are known to fail: lines `test: NAME`. */
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
    const endLingering = () => {
      console.log(`warning: ${file} left handles open and was ended`);
      child.kill('SIGKILL');
    };
    const collect = bytes => {
      output += bytes;
      if (graceTimer === undefined && LAST_LINE.test(output)) {
        graceTimer = setTimeout(endLingering, EXIT_GRACE_MS);
      }
    };
    child.stdout.on('data', collect);
    child.stderr.on('data', collect);
    const timer = setTimeout(() => child.kill('SIGKILL'), FILE_TIMEOUT_MS);
    child.on('exit', code => {
      clearTimeout(timer);
      clearTimeout(graceTimer);
      // All tests had run when a lingering process was ended.
      const hasEnded = LAST_LINE.test(output);
      resolve({file, code: hasEnded && code === null ? 0 : code, output});
    });
  });
}

function readResults(reportFile, {file, code}) {
  const results = existsSync(reportFile)
    ? JSON.parse(readFileSync(reportFile, 'utf8'))
    : [];
  const hasFailure = results.some(result => !result.passed);
  if (results.length === 0 || (code !== 0 && !hasFailure)) {
    // A file that breaks outside its tests is a failure too.
    results.push({name: file, passed: false});
  }
  return results;
}

async function runAll(files, directory) {
  const totals = {passed: 0, failed: 0, skipped: 0};
  const knownRed = readKnownRed();
  let next = 0;
  async function runWorker() {
    while (next < files.length) {
      const index = next++;
      const reportFile = join(directory, `${index}.json`);
      const run = await runFile(files[index], reportFile);
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
  await Promise.all(Array.from({length: parallel}, runWorker));
  return totals;
}

const selected = process.argv.slice(2);
const files = listTestFiles().filter(
  file => selected.length === 0 || selected.some(part => file.includes(part)),
);
const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-tests-'));
const {passed, failed, skipped} = await runAll(files, directory);
rmSync(directory, {recursive: true, force: true});
const suffix = skipped > 0 ? `, ${skipped} skipped` : '';
console.log(`${passed} passed, ${failed} failed${suffix}`);
process.exitCode = failed > 0 || passed === 0 ? 1 : 0;
