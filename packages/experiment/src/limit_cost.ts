/** Separates what a stated limit costs from what its division costs. */
import {LimitDivision} from './limit_division.js';
import {runExperiment} from './run_experiment.js';
import type {ExperimentCase} from './run_experiment.js';

/** Shares of the credit that are lost; they add up to the loss with limits. */
export interface LimitCost {
  /** Without any limit. */
  usual: number;
  /** To limits that all instances keep to together. */
  limit: number;
  /** To the division of these limits between the instances. */
  division: number;
}

/** Plays the same load without limits, and with limits in two ways. */
export function measureLimitCost(
  experiment: ExperimentCase,
  seed: number,
): LimitCost {
  const withoutLimits = {
    ...experiment,
    needs: experiment.needs.filter(need => need.rateRatio === undefined),
  };
  const runLimited = (limitDivision: LimitDivision) =>
    runExperiment({...experiment, limitDivision}, seed).credit;
  const usualCredit = runExperiment(withoutLimits, seed).credit;
  const commonCredit = runLimited(LimitDivision.COMMON);
  return {
    usual: 1 - usualCredit,
    limit: usualCredit - commonCredit,
    division: commonCredit - runLimited(LimitDivision.SHARES),
  };
}
