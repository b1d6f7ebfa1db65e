/** Plays a described load on a fleet and counts what callers get. */
import {createRandom} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';
import {createAgenda} from './agenda.js';
import type {Agenda} from './agenda.js';
import {createCreditLedger} from './credit_ledger.js';
import type {KindResult} from './credit_ledger.js';
import type {EngineModel, EngineProfile, EngineTotals} from './engine.js';
import {createFleetModel} from './fleet_model.js';
import {createLoad} from './load_model.js';
import type {Burst, Crash, RequestKind} from './load_model.js';
import {createModelCallers} from './model_caller.js';

/** A fleet and its load. */
export interface ExperimentCase {
  instances: number;
  servers: number;
  profile: EngineProfile;
  slowness: readonly number[];
  kinds: readonly RequestKind[];
  bursts: readonly Burst[];
  crashes: readonly Crash[];
  durationMs: number;
  gossipMs: number;
  fanout: number;
  shortPromptPart: number;
}

/** What a run gave. */
export interface ExperimentResult {
  kinds: KindResult[];
  /** Earned part of the credit owed. */
  credit: number;
  readTokens: number;
  /** Shared tokens that had been read somewhere before. */
  readAgainTokens: number;
  copiedTokens: number;
  preemptions: number;
}

function sumBy<T>(items: readonly T[], getValue: (item: T) => number): number {
  return items.reduce((sum, item) => sum + getValue(item), 0);
}

/** Takes a part of the servers down, neighbours in the list, and up again. */
function scheduleCrash(
  {atMs, forMs, part}: Crash,
  engines: readonly EngineModel[],
  agenda: Agenda,
  random: RandomSource,
): void {
  const count = Math.round(engines.length * part);
  const first = Math.floor(random.nextFloat() * engines.length);
  for (let index = 0; index < count; index++) {
    const engine = engines[(first + index) % engines.length]!;
    agenda.runAt(atMs, () => engine.crash());
    agenda.runAt(atMs + forMs, () => engine.start());
  }
}

/** Plays a case; the same seed gives the same result. */
export function runExperiment(
  experiment: ExperimentCase,
  seed: number,
): ExperimentResult {
  const random = createRandom(seed);
  const agenda = createAgenda();
  const load = createLoad({...experiment, random});
  const fleet = createFleetModel({...experiment, agenda, random});
  const ledger = createCreditLedger(experiment.kinds, load);
  const callers = createModelCallers({agenda, fleet, random, ledger});
  const engines = [...fleet.engines.values()];

  for (const request of load) {
    agenda.runAt(request.atMs, () => callers.sendRequest(request));
  }
  for (const crash of experiment.crashes) {
    scheduleCrash(crash, engines, agenda, random);
  }
  const longestMs = Math.max(...experiment.kinds.map(kind => kind.deadlineMs));
  agenda.advanceTo(experiment.durationMs + longestMs);

  const kinds = ledger.listResults();
  const sumTotals = (name: keyof EngineTotals) =>
    sumBy(engines, engine => engine.totals[name]);
  const readTokens = sumTotals('readTokens');
  return {
    kinds,
    credit: sumBy(kinds, kind => kind.earned) / sumBy(kinds, kind => kind.owed),
    readTokens,
    readAgainTokens: readTokens - ledger.countNeededTokens(),
    copiedTokens: sumTotals('copiedTokens'),
    preemptions: sumTotals('preemptions'),
  };
}
