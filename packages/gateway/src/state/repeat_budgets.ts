/** Budgets of repeated sends, one for each service. */
import {createRepeatBudget} from '@buckthornbeam/decisions';
import type {FleetRepeatBudget, RepeatBudget} from '@buckthornbeam/decisions';
import type {Route} from '../model.js';

/** Options of {@link createRepeatBudgets}. */
export interface RepeatBudgetsOptions {
  /** Budget of the fleet for one service. */
  fleet: FleetRepeatBudget;
  /** Instances that share it. */
  countInstances: (now: number) => number;
}

/** Budgets of all services. */
export interface RepeatBudgets {
  /** Counts a request for each service of its route by its weight. */
  recordRequest(route: Route, now: number): void;
  /** Takes one repeat towards a service. */
  take(serviceName: string, now: number): boolean;
}

/** Creates budgets that have seen no request. */
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
      // A request for several services counts where most of them go.
      const [target] = [...route.targets].sort((a, b) => b.weight - a.weight);
      if (target) {
        getBudget(target.serviceName).recordRequest(now);
      }
    },
    take: (serviceName, now) =>
      getBudget(serviceName).take(now, options.countInstances(now)),
  };
}
