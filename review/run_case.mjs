/** Runs a case: starts nothing itself, but ends what was started, and exits. */
import {createWriteStream, mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const TIME_LIMIT_MS = 110_000;

/** Whether the disruption is part of this run. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

export function waitFor(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until `condition` holds; throws after the limit. */
export async function waitUntil(condition, limitMs, what) {
  const endsAt = Date.now() + limitMs;
  while (!(await condition())) {
    if (Date.now() > endsAt) {
      throw new Error(`gave up waiting: ${what}`);
    }
    await waitFor(20);
  }
}

/**
 * Calls `run` with a recorder, a temporary folder and a list to which it adds
 * what must be ended. `run` returns the breaches of the rule.
 */
export async function runCase(run) {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const started = [];
  const record = createWriteStream('record.txt');
  const startedAt = Date.now();
  const write = (event, fields = {}) =>
    record.write(
      `${((Date.now() - startedAt) / 1000).toFixed(3)} ${event} ${JSON.stringify(fields)}\n`,
    );
  const timer = setTimeout(() => {
    write('time_limit');
    void finish(NOT_RUN);
  }, TIME_LIMIT_MS);

  async function finish(code) {
    clearTimeout(timer);
    await Promise.allSettled(started.map(item => item.end?.() ?? item.close()));
    write('exit', {code});
    await new Promise(resolve => record.end(resolve));
    if (process.env.KEEP) {
      console.log(folder);
    } else {
      rmSync(folder, {recursive: true, force: true});
    }
    process.exit(code);
  }

  for (const name of ['SIGINT', 'SIGTERM']) {
    process.on(name, () => void finish(NOT_RUN));
  }
  try {
    const breaches = await run({folder, started, write});
    breaches.forEach(breach => write('breach', breach));
    write(breaches.length > 0 ? 'rule_broken' : 'rule_held');
    await finish(breaches.length > 0 ? BROKEN : HELD);
  } catch (error) {
    write('could_not_run', {reason: error.stack});
    await finish(NOT_RUN);
  }
}
