/** `npm run measure`: measures a case under a policy; prints a table or JSON. */
import {parseArgs} from 'node:util';
import {Policy} from '@buckthornbeam/config';
import {RouterError} from '@buckthornbeam/shared';
import {cases, deployments} from './cases.js';
import {runMeasurement} from './run.js';
import type {Measurement} from './run.js';

const USAGE = `npm run measure -- [--deployment ${Object.keys(deployments).join('|')}]
  [--policy ${Object.values(Policy).join('|')}] [--case ${Object.keys(cases).join('|')}]
  [--seconds S] [--seed K] [--json]
`;

function formatRatio(value: number): string {
  return value.toFixed(3);
}

function formatTable(result: Measurement): string {
  const {deployment, policy, caseName, seconds, seed} = result;
  const lines = [
    `${deployment} ${caseName} policy=${policy} seconds=${seconds} seed=${seed}`,
    'class        tier requests  first  between  whole  all    share  shed preempted p95 first ms',
  ];
  for (const item of result.classes) {
    lines.push(
      [
        item.className.padEnd(12),
        String(item.tier).padStart(4),
        String(item.requests).padStart(8),
        formatRatio(item.firstToken).padStart(7),
        formatRatio(item.betweenTokens).padStart(8),
        formatRatio(item.wholeAnswer).padStart(6),
        formatRatio(item.attainment),
        formatRatio(item.tokenShare).padStart(6),
        String(item.shed).padStart(5),
        String(item.preempted).padStart(9),
        item.firstTokenMsP95.toFixed(0).padStart(12),
      ].join(' '),
    );
  }
  lines.push(
    `goodput ${result.goodput.toFixed(0)} of ${result.throughput.toFixed(0)} tokens/s (capacity ${result.capacity.toFixed(0)}), wasted ${formatRatio(result.wasted)}`,
    `Jain ${formatRatio(result.jainIndex)}, cold peak ${result.coldPeak} of ${result.coldLimit}, falls ${result.falls}, unfinished ${result.unfinished}, generator lag p99 ${result.generatorLagMsP99.toFixed(1)} ms`,
  );
  return lines.join('\n');
}

function parsePolicy(text: string): Policy {
  const found = Object.values(Policy).find(policy => policy === text);
  if (!found) {
    throw new RouterError('usage', `no policy "${text}"`);
  }
  return found;
}

async function runMain(): Promise<void> {
  const {values} = parseArgs({
    options: {
      deployment: {type: 'string', default: 'tunis'},
      policy: {type: 'string', default: Policy.OWNER},
      case: {type: 'string', default: 'steady'},
      seconds: {type: 'string', default: '12'},
      seed: {type: 'string', default: '1'},
      json: {type: 'boolean', default: false},
      help: {type: 'boolean', default: false},
    },
  });
  if (values.help) {
    process.stdout.write(USAGE);
    return;
  }
  const result = await runMeasurement({
    deployment: values.deployment,
    policy: parsePolicy(values.policy),
    caseName: values.case,
    seconds: Number(values.seconds),
    seed: Number(values.seed),
  });
  const text = values.json ? JSON.stringify(result) : formatTable(result);
  process.stdout.write(`${text}\n`);
}

await runMain();
