/** `buckthornbeam diff`: lists what differs between two file sets. */
import {checkAgainstBase, diffFileSets} from '@buckthornbeam/config';
import type {FileSetChange} from '@buckthornbeam/config';
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';
import {
  formatTable,
  printCheckErrors,
  printJson,
  printLine,
  printNote,
} from '../output.js';
import {readFileSet} from '../read_file_set.js';

/** Characters of a value that a table shows. */
const MAXIMUM_CELL = 60;

function formatValue(value: unknown): string {
  const text = value === undefined ? 'absent' : JSON.stringify(value);
  return text.length > MAXIMUM_CELL ? `${text.slice(0, MAXIMUM_CELL)}…` : text;
}

function printChanges(changes: readonly FileSetChange[]): void {
  const rows = changes.map(change => [
    change.file,
    change.path,
    formatValue(change.before),
    formatValue(change.after),
  ]);
  printLine(formatTable([['FILE', 'PATH', 'BEFORE', 'AFTER'], ...rows]));
}

export const diffCommand: Command = {
  summary: 'List what differs between two file sets.',
  details: [
    'Each of OLD and NEW is a directory or a bundle. A warning tells when NEW',
    'could not follow OLD; "bundle --based-on" sets what is needed.',
  ],
  positionals: ['OLD', 'NEW'],
  options: {json: {description: 'print JSON'}},
  run: async given => {
    const [before, after] = given.positionals.map(readFileSet);
    const changes = diffFileSets(before!, after!);
    const order = changes.length > 0 ? checkAgainstBase(after!, before!) : [];
    if (given.flags.has('json')) {
      printJson({changes, warnings: order});
      return ExitCode.OK;
    }
    printCheckErrors(order, printNote, 'warning');
    printChanges(changes);
    return ExitCode.OK;
  },
};
