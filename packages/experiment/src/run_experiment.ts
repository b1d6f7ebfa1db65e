/** Runs a generated load on a simulated fleet and counts the results. */
import {createRandom} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';
import type {Spreading} from '@buckthornbeam/gateway';
import {createEventQueue} from './event_queue.js';
import type {EventQueue} from './event_queue.js';
import {createResultTracker} from './result_tracker.js';
import type {KindResult} from './result_tracker.js';
import type {SimulatedEngine, EngineProfile, EngineTotals} from './engine.js';
import {createSimulatedFleet} from './fleet_model.js';
import type {SimulatedFleet} from './fleet_model.js';
import type {LimitDivision} from './limit_division.js';
import {createServerNeed} from './server_need.js';
import type {SentAgainst} from './stated_needs.js';
import type {Staleness} from './staleness.js';
import {createLoad} from './load_generator.js';
import type {
  Burst,
  Crash,
  Leaving,
  Need,
  RequestKind,
} from './load_generator.js';
import {createSimulatedCallers} from './caller_model.js';

/** A fleet and its load; the fields are options of their simulation. */
export interface ExperimentCase {
  instances: number;
  servers: number;
  profile: EngineProfile;
  stepTimeRatios: readonly number[];
  kinds: readonly RequestKind[];
  /** Priorities of the customers, who send equally many requests; may be empty. */
  customerPriorities: readonly number[];
  bursts: readonly Burst[];
  crashes: readonly Crash[];
  leavings: readonly Leaving[];
  needs: readonly Need[];
  durationMs: number;
  dataCentres: number;
  shortPromptRatio: number;
  spreading: Spreading;
  limitDivision: LimitDivision;
}

export interface ExperimentResult {
  kinds: KindResult[];
  /** Ratio of the credit earned to the credit if all requests were on time. */
  credit: number;
  /** Prefilled tokens, including output recomputed after a preemption. */
  readTokens: number;
  /**
   * Prefilled tokens beyond the minimum for the accepted requests: shared blocks
   * prefilled again on another server or after an eviction, and prefill repeated
   * after a preemption.
   */
  readAgainTokens: number;
  copiedTokens: number;
  preemptions: number;
  /** Requests sent against what servers had stated. */
  sentAgainst: SentAgainst;
  staleness: Staleness;
}

function sumBy<T>(items: readonly T[], getValue: (item: T) => number): number {
  return items.reduce((sum, item) => sum + getValue(item), 0);
}

/** Schedules the crash and restart of consecutive servers, from a random one. */
function scheduleCrash(
  {atMs, durationMs, serverRatio}: Crash,
  engines: readonly SimulatedEngine[],
  eventQueue: EventQueue,
  random: RandomSource,
): void {
  const count = Math.round(engines.length * serverRatio);
  const first = Math.floor(random.nextFloat() * engines.length);
  for (let index = 0; index < count; index++) {
    const engine = engines[(first + index) % engines.length]!;
    eventQueue.runAt(atMs, () => engine.crash());
    eventQueue.runAt(atMs + durationMs, () => engine.start());
  }
}

/** Schedules the leaving, end and next start of consecutive servers. */
function scheduleLeaving(
  {atMs, servesOnMs, downMs, serverRatio}: Leaving,
  fleet: SimulatedFleet,
  eventQueue: EventQueue,
): void {
  const leaving = [...fleet.engines].slice(
    0,
    Math.round(fleet.engines.size * serverRatio),
  );
  const endsAt = atMs + servesOnMs;
  for (const [id, engine] of leaving) {
    eventQueue.runAt(atMs, () => engine.leave());
    eventQueue.runAt(endsAt, () => engine.crash());
    eventQueue.runAt(endsAt + downMs, () => fleet.restartServer(id));
  }
}

/** Schedules the begin and end of what the first servers ask for. */
function scheduleNeed(
  {atMs, durationMs, serverRatio, pauseMs, rateRatio}: Need,
  engines: readonly SimulatedEngine[],
  usualRate: number,
  eventQueue: EventQueue,
): void {
  const need = {
    ...(pauseMs === undefined ? {} : {pauseMs}),
    ...(rateRatio === undefined
      ? {}
      : {requestsPerSecond: rateRatio * usualRate}),
  };
  const count = Math.round(engines.length * serverRatio);
  for (const engine of engines.slice(0, count)) {
    eventQueue.runAt(atMs, () => engine.setNeed(createServerNeed(need)));
    eventQueue.runAt(atMs + durationMs, () => engine.setNeed(undefined));
  }
}

/** Runs a case; the result depends only on the case and the seed. */
export function runExperiment(
  experiment: ExperimentCase,
  seed: number,
): ExperimentResult {
  const random = createRandom(seed);
  const eventQueue = createEventQueue();
  const load = createLoad({...experiment, random});
  const fleet = createSimulatedFleet({...experiment, eventQueue, random});
  const resultTracker = createResultTracker(experiment.kinds, load);
  const callers = createSimulatedCallers({
    eventQueue,
    fleet,
    random,
    resultTracker,
  });
  const engines = [...fleet.engines.values()];

  for (const request of load) {
    eventQueue.runAt(request.atMs, () => callers.sendRequest(request));
  }
  for (const crash of experiment.crashes) {
    scheduleCrash(crash, engines, eventQueue, random);
  }
  for (const leaving of experiment.leavings) {
    scheduleLeaving(leaving, fleet, eventQueue);
  }
  const usualRate =
    sumBy(experiment.kinds, kind => kind.requestsPerSecond) / engines.length;
  for (const need of experiment.needs) {
    scheduleNeed(need, engines, usualRate, eventQueue);
  }
  const longestDeadlineMs = Math.max(
    ...experiment.kinds.map(kind => kind.deadlineMs),
  );
  eventQueue.advanceTo(experiment.durationMs + longestDeadlineMs);

  const kinds = resultTracker.listResults();
  const sumTotals = (name: keyof EngineTotals) =>
    sumBy(engines, engine => engine.totals[name]);
  const prefilledTokens = sumTotals('prefilledTokens');
  return {
    kinds,
    credit: sumBy(kinds, kind => kind.earned) / sumBy(kinds, kind => kind.owed),
    readTokens: prefilledTokens,
    readAgainTokens:
      prefilledTokens - resultTracker.countRequiredPrefillTokens(),
    copiedTokens: sumTotals('copiedTokens'),
    preemptions: sumTotals('preemptions'),
    sentAgainst: fleet.countSentAgainst(),
    staleness: fleet.describeStaleness(),
  };
}
