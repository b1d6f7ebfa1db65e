/** Budgets of repeated requests, one per service. */
import {createRepeatBudget} from '@buckthornbeam/decisions';
import type {FleetRepeatBudget, RepeatBudget} from '@buckthornbeam/decisions';
import type {Route} from '../model.js';

/** Options of {@link createRepeatBudgets}. */
export interface RepeatBudgetsOptions {
  /** Budget of the whole fleet for one service. */
  fleet: FleetRepeatBudget;
  /** Counts the instances that share the budget. */
  countInstances: (now: number) => number;
}

export interface RepeatBudgets {
  /** Counts a request for the service with the highest weight in the route. */
  recordRequest(route: Route, now: number): void;
  /** Whether a repeat is left in the budget of a service; it is not taken. */
  has(serviceName: string, now: number): boolean;
  /** Takes one repeat from the budget of a service; false if this instance's share is used up. */
  take(serviceName: string, now: number): boolean;
}

export function createRepeatBudgets(
  options: RepeatBudgetsOptions,
): RepeatBudgets {
  const budgets = new Map<string, RepeatBudget>();

  function getBudget(serviceName: string): RepeatBudget {
    let budget = budgets.get(serviceName);
    if (!budget) {
      budget = createRepeatBudget(options.fleet);
      budgets.set(serviceName, budget);
    }
    return budget;
  }

  return {
    recordRequest: (route, now) => {
      // Only the service that gets most requests of the route counts them.
      const [target] = [...route.targets].sort((a, b) => b.weight - a.weight);
      if (target) {
        getBudget(target.serviceName).recordRequest(now);
      }
    },
    has: (serviceName, now) =>
      getBudget(serviceName).has(now, options.countInstances(now)),
    take: (serviceName, now) =>
      getBudget(serviceName).take(now, options.countInstances(now)),
  };
}
