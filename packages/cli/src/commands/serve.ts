/** `buckthornbeam serve`: runs one router instance. */
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
  summary: 'Run one router instance until SIGTERM or SIGINT.',
  details: [
    'Log lines go to standard error. SIGTERM and SIGINT stop it gracefully:',
    'new requests are rejected, and requests in progress are completed.',
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
