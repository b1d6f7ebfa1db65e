/** `buckthornbeam bundle`: writes a file set as one value. */
import {encodeBundle, loadFileSet} from '@buckthornbeam/config';
import {parseArguments} from '../arguments.js';
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';
import {printLine} from '../output.js';

export const bundleCommand: Command = {
  usage: 'bundle DIR',
  summary: 'Write the value to publish on standard output.',
  run: async args => {
    const {positionals} = parseArguments(args, {}, ['DIR']);
    printLine(encodeBundle(loadFileSet(positionals[0]!)));
    return ExitCode.OK;
  },
};
