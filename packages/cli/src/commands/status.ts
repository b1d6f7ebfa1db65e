/** `buckthornbeam status`: prints the status of a running instance. */
import {ExitCode} from '../command.js';
import type {Command} from '../command.js';
import {formatTable, printJson, printLine} from '../output.js';
import {fetchJson} from '../instance_client.js';

interface Version {
  revision: number;
  digest: string;
}

interface Status {
  instance: string;
  incarnation: string;
  dataCentre: string;
  ready: boolean;
  leaving: boolean;
  fileSet: Version | null;
  peers: Array<{
    id: string;
    state: string;
    ready: boolean;
    fileSet: Version | null;
  }>;
  servers: Array<{
    id: string;
    owner: string | null;
    limit?: number;
    inFlight?: number;
    queued?: number;
  }>;
}

/** Digests in the output are cut to this many characters. */
const SHORT_DIGEST_LENGTH = 12;

function formatVersion(version: Version | null): string {
  return version
    ? `${version.revision} ${version.digest.slice(0, SHORT_DIGEST_LENGTH)}`
    : 'none';
}

function printStatus(status: Status): void {
  printLine(
    formatTable([
      ['instance', status.instance],
      ['incarnation', status.incarnation],
      ['data centre', status.dataCentre],
      ['ready', String(status.ready)],
      ['leaving', String(status.leaving)],
      ['file set', formatVersion(status.fileSet)],
    ]),
  );
  const peers = status.peers.map(peer => [
    peer.id,
    peer.state,
    String(peer.ready),
    formatVersion(peer.fileSet),
  ]);
  printLine('');
  printLine(formatTable([['PEER', 'STATE', 'READY', 'FILE SET'], ...peers]));
  const servers = status.servers.map(server => [
    server.id,
    server.owner ?? 'none',
    ...[server.inFlight, server.limit, server.queued].map(value =>
      String(value ?? '-'),
    ),
  ]);
  printLine('');
  printLine(
    formatTable([
      ['SERVER', 'OWNER', 'IN FLIGHT', 'LIMIT', 'QUEUED'],
      ...servers,
    ]),
  );
}

export const statusCommand: Command = {
  summary: 'Print the peers, servers and file set as seen by an instance.',
  details: ['Load is shown for the servers that the instance owns.'],
  options: {
    address: {
      value: 'HOST:PORT',
      description: 'caller address of the instance',
      isRequired: true,
    },
    json: {description: 'print JSON'},
  },
  run: async given => {
    const address = given.values.get('address')!;
    const status = await fetchJson(address, '/v1/status');
    if (given.flags.has('json')) {
      printJson(status);
    } else {
      printStatus(status as Status);
    }
    return ExitCode.OK;
  },
};
