/** `buckthornbeam explain`: what happened to one request, from log lines. */
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';
import {walkLogLines} from '../log_lines.js';
import {printLine, printNote} from '../output.js';
import {createRequestStory} from '../request_story.js';

export const explainCommand: Command = {
  summary: 'Tell what happened to a request, from log lines.',
  details: [
    'LOG is a file of log lines of one or more gateways; standard input is read',
    'where it is left out. Events of the instance and of the servers that were',
    'asked are listed from 10 s before the request to 10 s after its end.',
  ],
  positionals: ['ID', '[LOG]'],
  run: async given => {
    const [id = '', log] = given.positionals;
    const story = createRequestStory(id);
    await walkLogLines(log, line => story.accept(line));
    const lines = story.format();
    if (lines.length === 0) {
      printNote(
        `no request ${id} in the log. Look in the logs of the other instances.`,
      );
      return ExitCode.FAILURE;
    }
    lines.forEach(line => printLine(line));
    return ExitCode.OK;
  },
};
