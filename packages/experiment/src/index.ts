/** Experiments: described loads played on models of servers and instances. */
export {cases} from './cases.js';
export {createAgenda} from './agenda.js';
export type {Agenda} from './agenda.js';
export {createEngineModel} from './engine_model.js';
export type {
  EngineJob,
  EngineModel,
  EngineProfile,
  ModelPart,
} from './engine.js';
export type {Burst, Crash, RequestKind} from './load_model.js';
export type {KindResult} from './credit_ledger.js';
export {runExperiment} from './run_experiment.js';
export type {ExperimentCase, ExperimentResult} from './run_experiment.js';
