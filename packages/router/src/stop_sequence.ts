/** The ordered steps of a planned stop. */
import type {Logger} from '@buckthornbeam/shared';

/** One step of a planned stop. */
export interface StopStep {
  /** Name as the logs show it. */
  name: string;
  /** Returns once the step is done. */
  run: () => Promise<void>;
  /** Describes what would be lost by skipping the step; empty when nothing. */
  describePending?: () => string;
}

/** Options of {@link createStopSequence}. */
export interface StopSequenceOptions {
  logger: Logger;
  /** Steps in the order in which they run. */
  steps: readonly StopStep[];
}

/** Runs the steps of a planned stop once. */
export interface StopSequence {
  /** Runs all steps; later calls return the same promise. */
  run(): Promise<void>;
  /** Describes what the steps still ahead would lose if they were skipped. */
  listPending(): string[];
}

/** Creates a stop sequence that has not begun. */
export function createStopSequence(options: StopSequenceOptions): StopSequence {
  const {logger, steps} = options;
  const ahead = [...steps];
  let running: Promise<void> | undefined;

  async function runSteps(): Promise<void> {
    while (ahead.length > 0) {
      const step = ahead[0]!;
      logger.info('stop_step', {step: step.name});
      await step.run();
      ahead.shift();
    }
  }

  return {
    run: () => {
      running ??= runSteps();
      return running;
    },
    listPending: () =>
      ahead
        .map(step => ({name: step.name, text: step.describePending?.() ?? ''}))
        .filter(({text}) => text !== '')
        .map(({name, text}) => `${name}: ${text}`),
  };
}
