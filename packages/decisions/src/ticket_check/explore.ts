/** Breadth-first search over every interleaving up to a depth. */
import {createHash} from 'node:crypto';
import type {ModelState} from './state.js';
import type {TicketModel} from './model.js';

/** Bounds of a search. */
export interface ExploreOptions {
  depth: number;
  /** Ends the search at the first broken property. */
  shouldStopAtViolation?: boolean;
}

/** What a search found. */
export interface Exploration {
  /** Distinct states. */
  states: number;
  /** Steps from the first state up to which every state was visited. */
  depth: number;
  violations: number;
  /** The first broken property. */
  firstViolation: string | undefined;
}

/** Messages have no order, so that two orders are one state. */
function computeStateKey(state: ModelState): string {
  const messages = state.messages
    .map(message => JSON.stringify(message))
    .sort();
  return createHash('sha1')
    .update(JSON.stringify({...state, messages}))
    .digest('base64');
}

/** Visits every state of the model within the bounds. */
export function runExploration(
  model: TicketModel,
  options: ExploreOptions,
): Exploration {
  const {depth, shouldStopAtViolation = false} = options;
  const seen = new Set([computeStateKey(model.initial)]);
  let level = [model.initial];
  let violations = 0;
  let firstViolation: string | undefined;

  function addState(state: ModelState, next: ModelState[]): void {
    const key = computeStateKey(state);
    if (seen.has(key)) {
      return;
    }
    seen.add(key);
    const violation = model.findViolation(state);
    if (violation === undefined) {
      next.push(state);
      return;
    }
    // A broken state is not followed further.
    violations += 1;
    firstViolation ??= violation;
  }

  for (let step = 0; step < depth; step++) {
    const next: ModelState[] = [];
    for (const state of level) {
      for (const successor of model.listNextStates(state)) {
        addState(successor, next);
      }
      if (violations > 0 && shouldStopAtViolation) {
        return {states: seen.size, depth: step, violations, firstViolation};
      }
    }
    level = next;
  }
  return {states: seen.size, depth, violations, firstViolation};
}
