/** `buckthornbeam check`: checks a file set. */
import {ConfigError, loadFileSet} from '@buckthornbeam/config';
import {parseArguments} from '../arguments.js';
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';
import {printCheckErrors, printJson, printLine} from '../output.js';

export const checkCommand: Command = {
  usage: 'check DIR [--json]',
  summary: 'Check a file set and list every error.',
  run: async args => {
    const {values, positionals} = parseArguments(
      args,
      {json: {type: 'boolean'}},
      ['DIR'],
    );
    try {
      const {version} = loadFileSet(positionals[0]!);
      if (values.json) {
        printJson({valid: true, ...version, errors: []});
      } else {
        printLine(`valid: revision ${version.revision}, ${version.digest}`);
      }
      return ExitCode.OK;
    } catch (error) {
      if (!(error instanceof ConfigError)) {
        throw error;
      }
      if (values.json) {
        printJson({valid: false, errors: error.errors});
      } else {
        printCheckErrors(error.errors);
      }
      return ExitCode.INVALID;
    }
  },
};
