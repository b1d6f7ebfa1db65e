/** `buckthornbeam diff`: lists what differs between two file sets. */
import {diffFileSets, loadFileSet} from '@buckthornbeam/config';
import {parseArguments} from '../arguments.js';
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';
import {printJson, printLine} from '../output.js';

export const diffCommand: Command = {
  usage: 'diff OLD NEW [--json]',
  summary: 'List what differs between two file sets.',
  run: async args => {
    const {values, positionals} = parseArguments(
      args,
      {json: {type: 'boolean'}},
      ['OLD', 'NEW'],
    );
    const [before, after] = positionals.map(loadFileSet);
    const changes = diffFileSets(before!, after!);
    if (values.json) {
      printJson(changes);
      return ExitCode.OK;
    }
    for (const change of changes) {
      const values = [change.before, change.after].map(value =>
        JSON.stringify(value),
      );
      printLine(`${change.file} ${change.path}: ${values.join(' -> ')}`);
    }
    return ExitCode.OK;
  },
};
