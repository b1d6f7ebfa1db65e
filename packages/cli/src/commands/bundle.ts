/** `buckthornbeam bundle`: writes a file set as one value. */
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

/** Puts the digest of the base into the set; throws unless it may follow. */
function applyBase(set: FileSet, base: FileSet): FileSet {
  const based = createFileSetOnBase(set, base);
  const errors = checkAgainstBase(based, base);
  if (errors.length > 0) {
    throw new ConfigError('invalid_file_set', errors);
  }
  return based;
}

export const bundleCommand: Command = {
  summary: 'Write the value to publish on standard output.',
  details: [
    'Warnings go to standard error. With --based-on, the digest of the set',
    'in force is put into service.json of the bundle, and the revision has',
    'to be greater than that of the base.',
  ],
  positionals: ['DIR'],
  options: {
    'based-on': {
      value: 'DIR',
      description: 'set in force, as a directory or a bundle',
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
