/** Experiments: generated load on simulated servers and instances. */
export {cases} from './cases.js';
export {createEventQueue} from './event_queue.js';
export type {EventQueue} from './event_queue.js';
export {createSimulatedEngine} from './engine_model.js';
export type {
  EngineJob,
  SimulatedEngine,
  EngineProfile,
  PromptBlock,
} from './engine.js';
export type {Burst, Crash, RequestKind} from './load_generator.js';
export type {KindResult} from './result_tracker.js';
export {measureLimitCost} from './limit_cost.js';
export {runExperiment} from './run_experiment.js';
export type {ExperimentCase, ExperimentResult} from './run_experiment.js';
