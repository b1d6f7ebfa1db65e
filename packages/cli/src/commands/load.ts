/** `buckthornbeam load`: generates load and reports results by class. */
import {loadMix} from '@buckthornbeam/config';
import {RouterError} from '@buckthornbeam/shared';
import {parseNumber} from '../arguments.js';
import {ExitCode} from '../command.js';
import type {Command, CommandArguments} from '../command.js';
import type {ClassReport} from '../load/load_report.js';
import {runLoad} from '../load/load_run.js';
import {formatTable, printJson, printLine} from '../output.js';
import {fetchJson} from '../instance_client.js';

const DEFAULT_SECONDS = 10;
const MAXIMUM_SECONDS = 3600;
const DEFAULT_OPEN_CALLS = 256;
const MAXIMUM_OPEN_CALLS = 10_000;
const MAXIMUM_SEED = 2 ** 31;

async function fetchAddresses(address: string): Promise<string[]> {
  const list = (await fetchJson(address, '/v1/entries')) as {
    entries: Array<{address: string}>;
  };
  if (list.entries.length === 0) {
    throw new RouterError(
      'instance_unreachable',
      'no instance accepts requests',
    );
  }
  return list.entries.map(entry => entry.address);
}

function formatCounts(counts: Record<string, number>): string {
  return Object.entries(counts)
    .map(([name, count]) => `${name}=${count}`)
    .join(' ');
}

function printReports(reports: readonly ClassReport[]): void {
  const rows = reports.map(report => [
    report.class,
    String(report.sent),
    String(report.attainment),
    String(report.firstTokenMet),
    String(report.betweenTokensMet),
    String(report.completionMet),
    String(report.goodput),
    `${report.firstTokenMs.p50}/${report.firstTokenMs.p95}/${report.firstTokenMs.p99}`,
    formatCounts(report.codes),
    formatCounts(report.outcomes),
  ]);
  const header = [
    'CLASS',
    'SENT',
    'ATTAINMENT',
    'FIRST',
    'BETWEEN',
    'WHOLE',
    'GOODPUT/S',
    'FIRST MS P50/95/99',
    'CODES',
    'OUTCOMES',
  ];
  printLine(formatTable([header, ...rows]));
}

function printProgress(done: number, open: number): void {
  if (process.stderr.isTTY) {
    process.stderr.write(`\r${done} done, ${open} open   `);
  }
}

async function runCommand(given: CommandArguments): Promise<ExitCode> {
  const mix = loadMix(given.positionals[0]!);
  const seconds = parseNumber(
    given,
    'seconds',
    DEFAULT_SECONDS,
    MAXIMUM_SECONDS,
  );
  const seed = Math.floor(parseNumber(given, 'seed', 1, MAXIMUM_SEED));
  const maximumOpen = Math.ceil(
    parseNumber(given, 'maximum-open', DEFAULT_OPEN_CALLS, MAXIMUM_OPEN_CALLS),
  );
  const addresses = await fetchAddresses(given.values.get('address')!);
  const reports = await runLoad({
    mix,
    addresses,
    seconds,
    seed,
    maximumOpen,
    onProgress: printProgress,
  });
  if (process.stderr.isTTY) {
    process.stderr.write('\n');
  }
  if (given.flags.has('json')) {
    printJson({seconds, seed, addresses, classes: reports});
  } else {
    printReports(reports);
  }
  return ExitCode.OK;
}

export const loadCommand: Command = {
  summary:
    'Generate load and report attainment, goodput and outcomes by class.',
  details: [
    'MIX is a JSON file such as examples/load-tunis.json. Arrivals are random',
    'at the rate of each class; each call goes to one of the listed instances.',
    'A call due while too many are open is skipped and counts as missed.',
  ],
  positionals: ['MIX'],
  options: {
    address: {
      value: 'HOST:PORT',
      description: 'caller address of any instance',
      isRequired: true,
    },
    seconds: {
      value: 'S',
      description: `duration in seconds, default ${DEFAULT_SECONDS}`,
    },
    seed: {value: 'K', description: 'seed of the random arrivals, default 1'},
    'maximum-open': {
      value: 'N',
      description: `maximum number of concurrent calls, default ${DEFAULT_OPEN_CALLS}`,
    },
    json: {description: 'print JSON'},
  },
  run: runCommand,
};
