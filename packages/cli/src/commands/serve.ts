/** `buckthornbeam serve`: runs one entry instance. */
import {loadSettings} from '@buckthornbeam/config';
import {createRouter} from '@buckthornbeam/router';
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';

function waitForSignal(): Promise<void> {
  return new Promise(resolve => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
}

export const serveCommand: Command = {
  summary: 'Run one entry instance until SIGTERM.',
  details: [
    'Log lines go to standard error. SIGTERM and SIGINT end it gracefully:',
    'no new request is taken, and those under way run to their end.',
  ],
  options: {
    settings: {
      value: 'FILE',
      description: 'settings of this process, JSON',
      isRequired: true,
    },
  },
  run: async given => {
    const settings = loadSettings(given.values.get('settings')!);
    const router = createRouter({settings});
    const stopped = waitForSignal();
    await router.start();
    await stopped;
    await router.stop();
    return ExitCode.OK;
  },
};
