/** `buckthornbeam explain`: describes the course of one request. */
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';
import {walkLogLines} from '../log_lines.js';
import {printLine, printNote} from '../output.js';
import {createRequestTimeline} from '../request_timeline.js';

export const explainCommand: Command = {
  summary: 'Describe the course of a request, from log lines.',
  details: [
    'LOG is a file with log lines of one or more gateways; the default is',
    'standard input. Events of the instance and of the servers that the request',
    'was sent to are listed from 10 s before its arrival to 10 s after its end.',
  ],
  positionals: ['ID', '[LOG]'],
  run: async given => {
    const [id = '', log] = given.positionals;
    const timeline = createRequestTimeline(id);
    await walkLogLines(log, line => timeline.accept(line));
    const lines = timeline.format();
    if (lines.length === 0) {
      printNote(
        `no request ${id} in the log. Check the logs of the other instances.`,
      );
      return ExitCode.FAILURE;
    }
    lines.forEach(line => printLine(line));
    return ExitCode.OK;
  },
};
