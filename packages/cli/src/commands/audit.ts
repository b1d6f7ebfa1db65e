/** `buckthornbeam audit`: prints the audit records in log files. */
import {RouterError} from '@buckthornbeam/shared';
import {ExitCode} from '../command.js';
import type {Command, CommandArguments} from '../command.js';
import {walkLogLines} from '../log_lines.js';
import type {LogLine} from '../log_lines.js';
import {printLine} from '../output.js';

/** Fields not printed as NAME=VALUE: shown in a column or omitted. */
const COLUMN_FIELDS = new Set(['time', 'level', 'event', 'instance', 'change']);

const TIME_WIDTH = 24;
const INSTANCE_WIDTH = 16;
const CHANGE_WIDTH = 20;

function formatRecord(fields: LogLine): string {
  const otherFields = Object.entries(fields)
    .filter(([name]) => !COLUMN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${value}`);
  return [
    (fields['time'] ?? '').padEnd(TIME_WIDTH),
    (fields['instance'] ?? '').padEnd(INSTANCE_WIDTH),
    (fields['change'] ?? '').padEnd(CHANGE_WIDTH),
    ...otherFields,
  ].join(' ');
}

type Filter = (fields: LogLine) => boolean;

function parseTime(text: string, option: string): number {
  const time = Date.parse(text);
  if (Number.isNaN(time)) {
    throw new RouterError('usage', `--${option} must be an ISO 8601 time`);
  }
  return time;
}

const filtersByOption: Record<string, (value: string) => Filter> = {
  change: value => fields => fields['change'] === value,
  instance: value => fields => fields['instance'] === value,
  server: value => fields => fields['server'] === value,
  since: value => {
    const since = parseTime(value, 'since');
    return fields => Date.parse(fields['time'] ?? '') >= since;
  },
  until: value => {
    const until = parseTime(value, 'until');
    return fields => Date.parse(fields['time'] ?? '') <= until;
  },
};

function createFilter(given: CommandArguments): Filter {
  const filters = [...given.values].map(([name, value]) =>
    filtersByOption[name]!(value),
  );
  return fields =>
    fields['event'] === 'audit' && filters.every(filter => filter(fields));
}

export const auditCommand: Command = {
  summary: 'Print the audit trail from log lines.',
  details: [
    'LOG is a file with log lines of one or more instances; the default is',
    'standard input. With --json, each record is one line of JSON.',
  ],
  positionals: ['[LOG]'],
  options: {
    change: {value: 'NAME', description: 'only changes with this name'},
    instance: {
      value: 'ID',
      description: 'only changes logged by this instance',
    },
    server: {value: 'ID', description: 'only changes of this backend server'},
    since: {value: 'TIME', description: 'only changes at or after this time'},
    until: {value: 'TIME', description: 'only changes at or before this time'},
    json: {description: 'print JSON lines'},
  },
  run: async given => {
    const isWanted = createFilter(given);
    const print = given.flags.has('json')
      ? (fields: LogLine) => printLine(JSON.stringify(fields))
      : (fields: LogLine) => printLine(formatRecord(fields));
    await walkLogLines(given.positionals[0], line => {
      if (isWanted(line)) {
        print(line);
      }
    });
    return ExitCode.OK;
  },
};
