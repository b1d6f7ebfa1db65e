/** `buckthornbeam diff`: lists the differences between two file sets. */
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

/** Values in the table are cut to this many characters. */
const MAXIMUM_CELL_LENGTH = 60;

function formatValue(value: unknown): string {
  const text = value === undefined ? 'absent' : JSON.stringify(value);
  return text.length > MAXIMUM_CELL_LENGTH
    ? `${text.slice(0, MAXIMUM_CELL_LENGTH)}…`
    : text;
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
  summary: 'List the differences between two file sets.',
  details: [
    'Each of OLD and NEW is a directory or a bundle. Warns if NEW is not a',
    'valid successor of OLD; "bundle --based-on" stores the digest for that.',
  ],
  positionals: ['OLD', 'NEW'],
  options: {json: {description: 'print JSON'}},
  run: async given => {
    const [before, after] = given.positionals.map(readFileSet);
    const changes = diffFileSets(before!, after!);
    const warnings =
      changes.length > 0 ? checkAgainstBase(after!, before!) : [];
    if (given.flags.has('json')) {
      printJson({changes, warnings});
      return ExitCode.OK;
    }
    printCheckErrors(warnings, printNote, 'warning');
    printChanges(changes);
    return ExitCode.OK;
  },
};
