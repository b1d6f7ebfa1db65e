/** Breadth-first search over all interleavings up to a depth. */
import {createHash} from 'node:crypto';
import type {ModelState} from './state.js';
import type {TicketModel} from './model.js';

/** Bounds of a search. */
export interface ExploreOptions {
  /** Maximum number of steps from the initial state. */
  depth: number;
  /** Ends the search at the first violation. */
  shouldStopAtViolation?: boolean;
}

/** Result of a search. */
export interface Exploration {
  /** Number of distinct states visited. */
  states: number;
  /** Number of steps from the initial state that were searched completely. */
  depth: number;
  /** Number of distinct states that violate a property. */
  violations: number;
  /** Description of the first violated property. */
  firstViolation: string | undefined;
}

/** Ignores the order of messages in transit: they can arrive in any order. */
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
  const visited = new Set([computeStateKey(model.initial)]);
  let level = [model.initial];
  let violations = 0;
  let firstViolation: string | undefined;

  function addState(state: ModelState, next: ModelState[]): void {
    const key = computeStateKey(state);
    if (visited.has(key)) {
      return;
    }
    visited.add(key);
    const violation = model.findViolation(state);
    if (violation === undefined) {
      next.push(state);
      return;
    }
    // Successors of a violating state are not searched.
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
        return {states: visited.size, depth: step, violations, firstViolation};
      }
    }
    level = next;
  }
  return {states: visited.size, depth, violations, firstViolation};
}
