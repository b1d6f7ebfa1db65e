/** State charts, loaded from JSON files and interpreted by XState. */
import {readFileSync} from 'node:fs';
import {createMachine, initialTransition, transition} from 'xstate';

/** A state chart without side effects. */
export interface Chart {
  readonly initial: string;
  readonly states: readonly string[];
  /** Returns the next state; the same one if the event has no transition. */
  step(state: string, event: string): string;
}

/** Loads a chart from a JSON file in XState's format with flat states. */
export function loadChart(file: URL): Chart {
  const config = JSON.parse(readFileSync(file, 'utf8'));
  const machine = createMachine(config);
  const [first] = initialTransition(machine);
  return {
    initial: String(first.value),
    states: Object.keys(config.states),
    step: (state, event) => {
      const snapshot = machine.resolveState({value: state, context: {}});
      const [next] = transition(machine, snapshot, {type: event});
      return String(next.value);
    },
  };
}
