/** `buckthornbeam load`: sends a mix of classes and reports what they got. */
import {loadMix} from '@buckthornbeam/config';
import {RouterError} from '@buckthornbeam/shared';
import {parseNumber} from '../arguments.js';
import {ExitCode} from '../command.js';
import type {Command, CommandArguments} from '../command.js';
import type {ClassReport} from '../load/load_report.js';
import {runLoad} from '../load/load_run.js';
import {formatTable, printJson, printLine} from '../output.js';
import {fetchJson} from '../remote.js';

const DEFAULT_SECONDS = 10;
const MAXIMUM_SECONDS = 3600;
const DEFAULT_OPEN = 256;
const MAXIMUM_OPEN = 10_000;
const MAXIMUM_SEED = 2 ** 31;

async function fetchAddresses(address: string): Promise<string[]> {
  const list = (await fetchJson(address, '/v1/entries')) as {
    entries: Array<{address: string}>;
  };
  if (list.entries.length === 0) {
    throw new RouterError('instance_unreachable', 'no entry takes requests');
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
  const title = [
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
  printLine(formatTable([title, ...rows]));
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
    parseNumber(given, 'maximum-open', DEFAULT_OPEN, MAXIMUM_OPEN),
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
  summary: 'Send a mix of classes and report attainment, goodput and outcomes.',
  details: [
    'MIX is a JSON file such as examples/load-tunis.json. Arrivals are random',
    'at the rate of each class; each call goes to one of the listed entries.',
    'A call that was due while too many were open counts as missed.',
  ],
  positionals: ['MIX'],
  options: {
    address: {
      value: 'HOST:PORT',
      description: 'address for callers of any instance',
      isRequired: true,
    },
    seconds: {value: 'S', description: `time to send, ${DEFAULT_SECONDS}`},
    seed: {value: 'K', description: 'seed of the arrivals, 1'},
    'maximum-open': {
      value: 'N',
      description: `calls at once, ${DEFAULT_OPEN}`,
    },
    json: {description: 'print JSON'},
  },
  run: runCommand,
};
