/** `npm run experiment`: runs a case and prints its results. */
import {parseArgs} from 'node:util';
import {RouterError} from '@buckthornbeam/shared';
import {Spreading} from '@buckthornbeam/gateway';
import {cases} from './cases.js';
import {measureLimitCost} from './limit_cost.js';
import {runExperiment} from './run_experiment.js';
import type {ExperimentResult} from './run_experiment.js';

const USAGE = `npm run experiment -- [--case ${Object.keys(cases).join('|')}]
  [--seeds N] [--servers N] [--instances N] [--data-centres N]
  [--short-part RATIO] [--spreading off|even] [--json]
  [--limit-cost]
`;

function formatResult(result: ExperimentResult): string {
  const {ageMs, error} = result.staleness;
  const rows = result.kinds.map(kind =>
    [
      kind.name.padEnd(8),
      String(kind.requests).padStart(8),
      (kind.earned / kind.owed).toFixed(3).padStart(7),
      ...[kind.onTime, kind.lateFirst, kind.latePause].map(count =>
        (count / kind.requests).toFixed(3).padStart(8),
      ),
      ...[kind.refused, kind.failed].map(count =>
        (count / kind.requests).toFixed(3).padStart(8),
      ),
    ].join(' '),
  );
  return [
    'kind     requests  credit  on time late 1st late pse  refused   failed',
    ...rows,
    `credit ${result.credit.toFixed(4)}, prefilled ${(result.readTokens / 1e6).toFixed(2)} M tokens, ` +
      `${(result.readAgainTokens / 1e6).toFixed(2)} M of them repeatedly, ` +
      `${(result.copiedTokens / 1e6).toFixed(2)} M copied, ` +
      `${result.preemptions} preempted, ${result.sentAgainst.leaving} sent to leaving servers, ` +
      `${result.sentAgainst.pauses} in pauses`,
    `load reports: age p50 ${ageMs.p50.toFixed(0)} ms, p95 ${ageMs.p95.toFixed(0)} ms; ` +
      `error p50 ${error.p50.toFixed(2)}, p95 ${error.p95.toFixed(2)} requests a server`,
  ].join('\n');
}

function parseNumber(text: string | undefined, fallback: number): number {
  if (text === undefined) {
    return fallback;
  }
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) {
    throw new RouterError('usage', `"${text}" is not a non-negative number`);
  }
  return value;
}

function parseSpreading(
  text: string | undefined,
  fallback: Spreading,
): Spreading {
  const found = Object.values(Spreading).find(value => value === text);
  if (text !== undefined && found === undefined) {
    throw new RouterError('usage', `"${text}" is neither off nor even`);
  }
  return found ?? fallback;
}

function runMain(): void {
  const {values} = parseArgs({
    options: {
      case: {type: 'string', default: 'steady'},
      seeds: {type: 'string', default: '1'},
      servers: {type: 'string'},
      instances: {type: 'string'},
      'data-centres': {type: 'string'},
      'short-part': {type: 'string'},
      spreading: {type: 'string'},
      json: {type: 'boolean', default: false},
      'limit-cost': {type: 'boolean', default: false},
    },
  });
  const baseCase = cases[values.case];
  if (!baseCase) {
    throw new RouterError('usage', `unknown case "${values.case}"\n${USAGE}`);
  }
  const experiment = {
    ...baseCase,
    servers: parseNumber(values.servers, baseCase.servers),
    instances: parseNumber(values.instances, baseCase.instances),
    dataCentres: parseNumber(values['data-centres'], baseCase.dataCentres),
    shortPromptRatio: parseNumber(
      values['short-part'],
      baseCase.shortPromptRatio,
    ),
    spreading: parseSpreading(values.spreading, baseCase.spreading),
  };
  const seeds = parseNumber(values.seeds, 1);
  for (let seed = 1; seed <= seeds; seed++) {
    if (values['limit-cost']) {
      const {usual, limit, division} = measureLimitCost(experiment, seed);
      const [lost, toLimit, toDivision] = [usual, limit, division].map(share =>
        share.toFixed(4),
      );
      process.stdout.write(
        `${values.case}, seed ${seed}: lost without limits ${lost}, ` +
          `to the limits ${toLimit}, to their division ${toDivision}\n`,
      );
      continue;
    }
    const result = runExperiment(experiment, seed);
    process.stdout.write(
      values.json
        ? `${JSON.stringify({case: values.case, seed, ...result})}\n`
        : `${values.case}, seed ${seed}\n${formatResult(result)}\n`,
    );
  }
}

runMain();
