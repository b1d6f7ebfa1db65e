/**
 * Runs a case: gives it a temporary folder, a record and a list of what must be ended,
 * and turns its verdict into the exit code. 0: the rule held, 1: it was broken, 2: the
 * case could not run.
 */
import {createWriteStream, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const LIMIT_MS = 115_000;

export function wait(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/**
 * @param caseFolder Folder of the case, for `record.txt`.
 * @param run Gets the context; returns a list of breaches, empty if the rule held.
 */
export async function runCase(caseFolder, run) {
  const startedAt = performance.now();
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const output = createWriteStream(join(caseFolder, 'record.txt'));
  const toEnd = [];
  const hasTrouble = process.env.TROUBLE !== '0';

  function record(who, what, details = {}) {
    const at = ((performance.now() - startedAt) / 1000).toFixed(3);
    const text = Object.entries(details)
      .filter(([, value]) => value !== undefined)
      .map(([name, value]) => `${name}=${value}`)
      .join(' ');
    output.write(`${at} ${who} ${what} ${text}\n`);
  }

  let code = 2;
  const limit = setTimeout(() => {
    record('case', 'took too long');
    void endAll(2);
  }, LIMIT_MS);

  async function endAll(exitCode) {
    clearTimeout(limit);
    for (const end of toEnd.reverse()) {
      await end();
    }
    rmSync(folder, {recursive: true, force: true});
    await new Promise(resolve => output.end(resolve));
    process.exit(exitCode);
  }

  try {
    record('case', hasTrouble ? 'with the disruption' : 'without it');
    const breaches = await run({
      record,
      folder,
      hasTrouble,
      onEnd: end => toEnd.push(end),
      startedAt,
    });
    breaches.forEach(text => record('breach', text));
    console.log(
      breaches.length > 0
        ? `broken: ${breaches.length}, first: ${breaches[0]}`
        : 'held',
    );
    code = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    record('case', 'could not run:', {reason: error.message});
    console.log(`could not run: ${error.message}`);
  }
  record('case', 'ends', {code});
  await endAll(code);
}
