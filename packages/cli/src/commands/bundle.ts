/** `buckthornbeam bundle`: encodes a file set as one value for publishing. */
import {
  ConfigError,
  checkAgainstBase,
  createFileSetOnBase,
  encodeBundle,
  listWarnings,
} from '@buckthornbeam/config';
import type {FileSet} from '@buckthornbeam/config';
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';
import {printCheckErrors, printLine, printNote} from '../output.js';
import {readFileSet} from '../read_file_set.js';

/**
 * Stores the digest of the base in the set.
 *
 * @throws ConfigError if the set is not a valid successor of the base
 */
function applyBase(set: FileSet, base: FileSet): FileSet {
  const based = createFileSetOnBase(set, base);
  const errors = checkAgainstBase(based, base);
  if (errors.length > 0) {
    throw new ConfigError('invalid_file_set', errors);
  }
  return based;
}

export const bundleCommand: Command = {
  summary: 'Write a file set as one value to standard output, for publishing.',
  details: [
    'Warnings go to standard error. With --based-on, the digest of that set is',
    'stored in service.json of the bundle; the revision of DIR must be greater',
    'than that of the base.',
  ],
  positionals: ['DIR'],
  options: {
    'based-on': {
      value: 'DIR',
      description: 'set in force (directory or bundle)',
    },
  },
  run: async given => {
    const set = readFileSet(given.positionals[0]!);
    const basePath = given.values.get('based-on');
    const based =
      basePath === undefined ? set : applyBase(set, readFileSet(basePath));
    const text = encodeBundle(based);
    printCheckErrors(listWarnings(based), printNote, 'warning');
    printLine(text);
    return ExitCode.OK;
  },
};
