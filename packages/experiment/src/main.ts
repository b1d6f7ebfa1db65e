/** `npm run experiment`: plays a case and prints what callers get. */
import {parseArgs} from 'node:util';
import {RouterError} from '@buckthornbeam/shared';
import {cases} from './cases.js';
import {runExperiment} from './run_experiment.js';
import type {ExperimentResult} from './run_experiment.js';

const USAGE = `npm run experiment -- [--case ${Object.keys(cases).join('|')}]
  [--seeds N] [--servers N] [--instances N] [--gossip-ms MS] [--fanout N]
  [--short-part PART] [--json]
`;

function formatResult(result: ExperimentResult): string {
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
    `credit ${result.credit.toFixed(4)}, read ${(result.readTokens / 1e6).toFixed(2)} M tokens, ` +
      `${(result.readAgainTokens / 1e6).toFixed(2)} M of shared parts again, ` +
      `${(result.copiedTokens / 1e6).toFixed(2)} M copied, ` +
      `${result.preemptions} preempted`,
  ].join('\n');
}

function parseCount(text: string | undefined, fallback: number): number {
  if (text === undefined) {
    return fallback;
  }
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) {
    throw new RouterError('usage', `"${text}" is no count`);
  }
  return value;
}

function runMain(): void {
  const {values} = parseArgs({
    options: {
      case: {type: 'string', default: 'steady'},
      seeds: {type: 'string', default: '1'},
      servers: {type: 'string'},
      instances: {type: 'string'},
      'gossip-ms': {type: 'string'},
      fanout: {type: 'string'},
      'short-part': {type: 'string'},
      json: {type: 'boolean', default: false},
    },
  });
  const described = cases[values.case];
  if (!described) {
    throw new RouterError('usage', `no case "${values.case}"\n${USAGE}`);
  }
  const experiment = {
    ...described,
    servers: parseCount(values.servers, described.servers),
    instances: parseCount(values.instances, described.instances),
    gossipMs: parseCount(values['gossip-ms'], described.gossipMs),
    fanout: parseCount(values.fanout, described.fanout),
    shortPromptPart: parseCount(
      values['short-part'],
      described.shortPromptPart,
    ),
  };
  const seeds = parseCount(values.seeds, 1);
  for (let seed = 1; seed <= seeds; seed++) {
    const result = runExperiment(experiment, seed);
    process.stdout.write(
      values.json
        ? `${JSON.stringify({case: values.case, seed, ...result})}\n`
        : `${values.case}, seed ${seed}\n${formatResult(result)}\n`,
    );
  }
}

runMain();
