/** Runs the steps of a graceful shutdown in order. */
import type {Logger} from '@buckthornbeam/shared';

export interface StopStep {
  /** Name in the log event `stop_step`. */
  name: string;
  run: () => Promise<void>;
  /** Describes what skipping the step would lose; empty if nothing. */
  describePending?: () => string;
}

/** Options of {@link createStopSequence}. */
export interface StopSequenceOptions {
  logger: Logger;
  /** In order of execution. */
  steps: readonly StopStep[];
}

export interface StopSequence {
  /** Runs all steps; later calls return the same promise. */
  run(): Promise<void>;
  /** Describes what would be lost if the unfinished steps were skipped. */
  listPending(): string[];
}

export function createStopSequence(options: StopSequenceOptions): StopSequence {
  const {logger, steps} = options;
  const remainingSteps = [...steps];
  let runPromise: Promise<void> | undefined;

  async function runSteps(): Promise<void> {
    while (remainingSteps.length > 0) {
      const step = remainingSteps[0]!;
      logger.info('stop_step', {step: step.name});
      await step.run();
      remainingSteps.shift();
    }
  }

  return {
    run: () => {
      runPromise ??= runSteps();
      return runPromise;
    },
    listPending: () =>
      remainingSteps
        .map(step => ({name: step.name, text: step.describePending?.() ?? ''}))
        .filter(({text}) => text !== '')
        .map(({name, text}) => `${name}: ${text}`),
  };
}
