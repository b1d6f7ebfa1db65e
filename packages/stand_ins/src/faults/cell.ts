/** Runs one cell of the fault matrix: one or two faults at a step of a request. */
import {createRandom, waitFor} from '@buckthornbeam/shared';
import {startBackgroundLoad} from './background_load.js';
import {createCaller} from './caller.js';
import type {Caller} from './caller.js';
import type {Fault} from './faults.js';
import {Mark, checkInvariant, invariants} from './invariants.js';
import type {Invariant, Verdict} from './invariants.js';
import type {AnswerRecord} from './run_history.js';
import type {Step} from './steps.js';
import {startTestCluster} from './test_cluster.js';
import type {TestCluster} from './test_cluster.js';

/** Options of {@link runCell}. */
export interface CellOptions {
  step: Step;
  faults: readonly Fault[];
  seed?: number;
  /** Invariants to check; all by default. */
  only?: readonly Invariant[];
}

/** Result of a run; times in milliseconds of `performance.now()`. */
export interface CellRun {
  step: string;
  faults: string[];
  seed: number;
  /** If false, the probe missed its step and the run is void. */
  isReached: boolean;
  verdicts: Verdict[];
  /** Answers to all chats, for plots. */
  answers: AnswerRecord[];
  injectedAt: number;
  healedAt: number;
  durationMs: number;
  /** Last log lines of each entry if an invariant failed, otherwise empty. */
  logs: string[];
}

const MARKER_CLASS = 'marker';
const WARM_UP_ANSWERS = 12;
const RECOVERY_TIMEOUT_MS = 20_000;
const MAXIMUM_PAIR_GAP_MS = 1000;
const LOGGED_LINES_PER_ENTRY = 40;

/** Publishes a new class, by which callers detect who has the new file set. */
async function publishMarkerClass(cluster: TestCluster): Promise<void> {
  const {classes} = cluster.fileSet.files['classes.json'];
  const last = classes[classes.length - 1]!;
  const marker = {...last, name: MARKER_CLASS, minimumShare: 0};
  await cluster.publish({'classes.json': {classes: [...classes, marker]}});
  const {history} = cluster;
  history.record({
    type: 'mark',
    name: Mark.CLASS_PUBLISHED,
    subject: MARKER_CLASS,
  });
}

async function waitForAnswers(
  cluster: TestCluster,
  count: number,
): Promise<void> {
  for (let answered = 0; answered < count; answered++) {
    await cluster.history.waitForRecord(
      'answer',
      () => true,
      RECOVERY_TIMEOUT_MS,
    );
  }
}

/** Waits until every class has a complete answer after the fault, or a timeout. */
async function waitForRecovery(cluster: TestCluster): Promise<void> {
  const unservedClasses = new Set(
    cluster.history.list('answer').map(answer => answer.className),
  );
  await cluster.history.waitForRecord(
    'answer',
    answer => {
      if (answer.isWhole) {
        unservedClasses.delete(answer.className);
      }
      return unservedClasses.size === 0;
    },
    RECOVERY_TIMEOUT_MS,
  );
}

async function injectFaults(
  options: CellOptions,
  cluster: TestCluster,
  caller: Caller,
  reached: Awaited<ReturnType<Step['reach']>>,
): Promise<() => Promise<void>> {
  const random = createRandom(options.seed ?? 0);
  const heals: Array<() => Promise<void>> = [];
  for (const [index, fault] of options.faults.entries()) {
    if (index > 0) {
      await waitFor(random.nextInt(MAXIMUM_PAIR_GAP_MS));
    }
    heals.push(
      await fault.inject({cluster, caller, step: options.step, reached}),
    );
  }
  return async () => {
    for (const heal of heals) {
      await heal();
    }
  };
}

/** Runs one cell on a new cluster. */
export async function runCell(options: CellOptions): Promise<CellRun> {
  const {step, faults, seed = 0, only = invariants} = options;
  const startedAt = performance.now();
  const cluster = await startTestCluster();
  const {history} = cluster;
  const caller = createCaller(cluster);
  try {
    const load = startBackgroundLoad(cluster, caller, MARKER_CLASS);
    await waitForAnswers(cluster, WARM_UP_ANSWERS);
    const reached = await step.reach({cluster, caller});
    const injectedAt = performance.now();
    const heal = await injectFaults(options, cluster, caller, reached);
    await publishMarkerClass(cluster);
    const probe = reached.release();
    await waitFor(Math.max(...faults.map(fault => fault.durationMs)));
    await heal();
    const healedAt = performance.now();
    history.record({type: 'mark', name: Mark.HEALED, subject: step.name});
    await waitForRecovery(cluster);
    await probe;
    history.record({type: 'mark', name: Mark.LOAD_ENDED, subject: step.name});
    await load.stop();
    const run = {history, fileSet: cluster.fileSet};
    const verdicts = only.map(invariant => checkInvariant(invariant, run));
    const hasFailed = verdicts.some(verdict => verdict.result === 'failed');
    return {
      step: step.name,
      faults: faults.map(fault => fault.name),
      seed,
      isReached: reached.isReached,
      verdicts,
      answers: history.list('answer'),
      injectedAt,
      healedAt,
      durationMs: performance.now() - startedAt,
      logs: hasFailed
        ? cluster.entries.flatMap(entry =>
            entry.process.logLines.slice(-LOGGED_LINES_PER_ENTRY),
          )
        : [],
    };
  } finally {
    await caller.close();
    await cluster.stop();
  }
}
