/** `buckthornbeam serve`: runs one entry instance. */
import {loadSettings} from '@buckthornbeam/config';
import {createRouter} from '@buckthornbeam/router';
import {getRequired, parseArguments} from '../arguments.js';
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';

function waitForSignal(): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}

export const serveCommand: Command = {
  usage: 'serve --settings FILE',
  summary: 'Run one entry instance until SIGTERM.',
  run: async args => {
    const {values} = parseArguments(args, {settings: {type: 'string'}});
    const settings = loadSettings(getRequired(values.settings, 'settings'));
    const router = createRouter({settings});
    const stopped = waitForSignal();
    await router.start();
    await stopped;
    await router.stop();
    return ExitCode.OK;
  },
};
