/** `buckthornbeam status` and `entries`: ask a running instance. */
import {RouterError} from '@buckthornbeam/shared';
import {request} from 'undici';
import {getRequired, parseArguments} from '../arguments.js';
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';
import {printJson} from '../output.js';

async function fetchJson(address: string, path: string): Promise<unknown> {
  try {
    const response = await request(`http://${address}${path}`);
    return await response.body.json();
  } catch (error) {
    throw new RouterError('peer_unreachable', (error as Error).message);
  }
}

function createRemoteCommand(
  name: string,
  path: string,
  summary: string,
): Command {
  return {
    usage: `${name} --address HOST:PORT`,
    summary,
    run: async args => {
      const {values} = parseArguments(args, {
        address: {type: 'string'},
        json: {type: 'boolean'},
      });
      const address = getRequired(values.address, 'address');
      printJson(await fetchJson(address, path));
      return ExitCode.OK;
    },
  };
}

export const statusCommand = createRemoteCommand(
  'status',
  '/v1/status',
  'Print what an instance knows of peers, servers and its file set.',
);

export const entriesCommand = createRemoteCommand(
  'entries',
  '/v1/entries',
  'Print the addresses that callers should use.',
);
