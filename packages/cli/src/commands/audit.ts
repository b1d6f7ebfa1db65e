/** `buckthornbeam audit`: the trail of changes from log lines. */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {RouterError, parseFields} from '@buckthornbeam/shared';
import {ExitCode} from '../command.js';
import type {Command, CommandArguments} from '../command.js';
import {printLine} from '../output.js';

type Fields = Record<string, string>;

/** Fields that stand in columns of their own. */
const COLUMN_FIELDS = new Set(['time', 'level', 'event', 'instance', 'change']);

const TIME_WIDTH = 24;
const INSTANCE_WIDTH = 16;
const CHANGE_WIDTH = 20;

function formatRecord(fields: Fields): string {
  const rest = Object.entries(fields)
    .filter(([name]) => !COLUMN_FIELDS.has(name))
    .map(([name, value]) => `${name}=${value}`);
  return [
    (fields['time'] ?? '').padEnd(TIME_WIDTH),
    (fields['instance'] ?? '').padEnd(INSTANCE_WIDTH),
    (fields['change'] ?? '').padEnd(CHANGE_WIDTH),
    ...rest,
  ].join(' ');
}

type Filter = (fields: Fields) => boolean;

function parseTime(text: string, option: string): number {
  const time = Date.parse(text);
  if (Number.isNaN(time)) {
    throw new RouterError('usage', `--${option} has to be a time, ISO 8601`);
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

function openInput(path: string | undefined): NodeJS.ReadableStream {
  return path === undefined || path === '-'
    ? process.stdin
    : createReadStream(path);
}

async function walkRecords(
  path: string | undefined,
  isWanted: Filter,
  print: (fields: Fields) => void,
): Promise<void> {
  const input = openInput(path);
  const failed = new Promise<never>((_, reject) =>
    input.once('error', error =>
      reject(
        new RouterError('usage', `the log cannot be read: ${error.message}`),
      ),
    ),
  );
  const lines = createInterface({input});
  const walk = async () => {
    for await (const line of lines) {
      const fields = parseFields(line);
      if (isWanted(fields)) {
        print(fields);
      }
    }
  };
  await Promise.race([walk(), failed]);
}

export const auditCommand: Command = {
  summary: 'Print the trail of changes from log lines.',
  details: [
    'LOG is a file of log lines of one or more instances; standard input is',
    'read where it is left out. With --json, each record is one JSON line.',
  ],
  positionals: ['[LOG]'],
  options: {
    change: {value: 'NAME', description: 'only changes of this name'},
    instance: {value: 'ID', description: 'only changes of this instance'},
    server: {value: 'ID', description: 'only changes of this backend server'},
    since: {value: 'TIME', description: 'only changes from this time on'},
    until: {value: 'TIME', description: 'only changes up to this time'},
    json: {description: 'print JSON lines'},
  },
  run: async given => {
    const isWanted = createFilter(given);
    const print = given.flags.has('json')
      ? (fields: Fields) => printLine(JSON.stringify(fields))
      : (fields: Fields) => printLine(formatRecord(fields));
    await walkRecords(given.positionals[0], isWanted, print);
    return ExitCode.OK;
  },
};
