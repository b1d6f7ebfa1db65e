/** One run of the matrix: a step, one or two faults, and ten verdicts. */
import {createRandom, waitFor} from '@buckthornbeam/shared';
import {createCaller} from './caller.js';
import type {Fault} from './faults.js';
import {Mark, checkInvariant, invariants} from './invariants.js';
import type {Invariant, Verdict} from './invariants.js';
import type {AnswerRecord} from './ledger.js';
import {startLoad} from './load.js';
import {startSite} from './site.js';
import type {Site} from './site.js';
import type {Step} from './steps.js';

/** Options of {@link runCell}. */
export interface CellOptions {
  step: Step;
  faults: readonly Fault[];
  seed?: number;
  /** Invariants to judge; all by default. */
  only?: readonly Invariant[];
}

/** What a run showed. */
export interface CellRun {
  step: string;
  faults: string[];
  seed: number;
  /** Whether the probe reached its step; the run is void otherwise. */
  isReached: boolean;
  verdicts: Verdict[];
  /** Answers of the load, for plots. */
  answers: AnswerRecord[];
  injectedAt: number;
  healedAt: number;
  durationMs: number;
  /** Last log lines of each entry, when a verdict is bad. */
  logs: string[];
}

const MARKER_CLASS = 'marker';
const WARM_UP_ANSWERS = 12;
const RECOVERY_TIMEOUT_MS = 20_000;
/** Greatest time between the two faults of a pair. */
const PAIR_GAP_MS = 1000;
const LOG_LINES = 40;

/** Adds a class to the published set; callers can tell whether it is known. */
async function publishMarker(site: Site): Promise<void> {
  const {classes} = site.fileSet.files['classes.json'];
  const last = classes[classes.length - 1]!;
  const marker = {...last, name: MARKER_CLASS, minimumShare: 0};
  await site.publish({'classes.json': {classes: [...classes, marker]}});
  const {ledger} = site;
  ledger.record({
    type: 'mark',
    name: Mark.CLASS_PUBLISHED,
    subject: MARKER_CLASS,
  });
}

async function waitForAnswers(site: Site, count: number): Promise<void> {
  for (let answered = 0; answered < count; answered++) {
    await site.ledger.waitForRecord('answer', () => true, RECOVERY_TIMEOUT_MS);
  }
}

/** Waits until every class was served after the fault, or the time is up. */
async function waitForRecovery(site: Site): Promise<void> {
  const missing = new Set(
    site.ledger.list('answer').map(answer => answer.className),
  );
  await site.ledger.waitForRecord(
    'answer',
    answer => {
      if (answer.isWhole) {
        missing.delete(answer.className);
      }
      return missing.size === 0;
    },
    RECOVERY_TIMEOUT_MS,
  );
}

async function injectFaults(
  options: CellOptions,
  site: Site,
  reached: Awaited<ReturnType<Step['reach']>>,
): Promise<() => Promise<void>> {
  const random = createRandom(options.seed ?? 0);
  const heals: Array<() => Promise<void>> = [];
  for (const [index, fault] of options.faults.entries()) {
    if (index > 0) {
      await waitFor(random.nextInt(PAIR_GAP_MS));
    }
    heals.push(await fault.inject({site, step: options.step, reached}));
  }
  return async () => {
    for (const heal of heals) {
      await heal();
    }
  };
}

/** Runs one cell on a site of its own. */
export async function runCell(options: CellOptions): Promise<CellRun> {
  const {step, faults, seed = 0, only = invariants} = options;
  const startedAt = performance.now();
  const site = await startSite();
  const {ledger} = site;
  const caller = createCaller(site);
  try {
    const load = startLoad(site, caller, MARKER_CLASS);
    await waitForAnswers(site, WARM_UP_ANSWERS);
    const reached = await step.reach({site, caller});
    const injectedAt = performance.now();
    const heal = await injectFaults(options, site, reached);
    await publishMarker(site);
    const probe = reached.release();
    await waitFor(Math.max(...faults.map(fault => fault.durationMs)));
    await heal();
    const healedAt = performance.now();
    ledger.record({type: 'mark', name: Mark.HEALED, subject: step.name});
    await waitForRecovery(site);
    await probe;
    ledger.record({type: 'mark', name: Mark.LOAD_ENDED, subject: step.name});
    await load.stop();
    const run = {ledger, fileSet: site.fileSet};
    const verdicts = only.map(invariant => checkInvariant(invariant, run));
    const hasFailed = verdicts.some(verdict => verdict.result === 'failed');
    return {
      step: step.name,
      faults: faults.map(fault => fault.name),
      seed,
      isReached: reached.isReached,
      verdicts,
      answers: ledger.list('answer'),
      injectedAt,
      healedAt,
      durationMs: performance.now() - startedAt,
      logs: hasFailed
        ? site.entries.flatMap(entry => entry.process.lines.slice(-LOG_LINES))
        : [],
    };
  } finally {
    await caller.close();
    await site.stop();
  }
}
