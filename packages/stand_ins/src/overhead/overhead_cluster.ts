/** A cluster for overhead measurements: one engine, its owner and other entries. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createFileSet, encodeBundle, loadFileSet} from '@buckthornbeam/config';
import type {FileSet} from '@buckthornbeam/config';
import {request} from 'undici';
import {TICKET_KEY} from '../cluster/cluster.js';
import {
  startEntry,
  stopEntry,
  waitUntilReady,
} from '../cluster/entry_process.js';
import type {EntryProcess} from '../cluster/entry_process.js';
import {startConfigurationService} from '../configuration_service.js';
import {StandInKind, startStandIn} from '../processes/stand_in_process.js';

export interface OverheadCluster {
  /** Receives the calls; owns no server. */
  entry: EntryProcess;
  /** Owns the engine. */
  owner: EntryProcess;
  engineAddress: string;
  stop(): Promise<void>;
}

const tunisDirectory = fileURLToPath(
  new URL('../../../../../examples/tunis', import.meta.url),
);

/** Larger than any run needs, so that only the CPU limits the throughput. */
const UNLIMITED = 1_000_000_000;
const MAXIMUM_ENGINE_REQUESTS = 1024;

const engineOptions = {
  tokensPerSecond: 200,
  halfRateRequests: UNLIMITED,
  maximumRequests: MAXIMUM_ENGINE_REQUESTS,
  coldRequests: MAXIMUM_ENGINE_REQUESTS,
  prefillMs: 5,
  startsWarm: true,
};

function createUnlimitedFileSet(engineAddress: string): FileSet {
  const {files} = loadFileSet(tunisDirectory);
  const [server] = files['backend-servers.json'].backendServers;
  const capacity = {
    requests: MAXIMUM_ENGINE_REQUESTS,
    tokens: UNLIMITED,
    startingRequests: MAXIMUM_ENGINE_REQUESTS,
  };
  return createFileSet({
    ...files,
    'customers.json': {
      customers: files['customers.json'].customers.map(customer => ({
        ...customer,
        tokensPerSecond: UNLIMITED,
        burstTokens: UNLIMITED,
      })),
    },
    'backend-servers.json': {
      backendServers: [{...server, address: engineAddress, capacity}],
    },
  });
}

async function fetchOwnerId(entry: EntryProcess): Promise<string | null> {
  const {callerAddress} = entry.instance;
  const response = await request(`http://${callerAddress}/v1/status`);
  const status = (await response.body.json()) as {
    servers: Array<{owner: string | null}>;
  };
  return status.servers[0]?.owner ?? null;
}

/** Starts the cluster; resolves once every entry lists all entries. */
export async function startOverheadCluster(): Promise<OverheadCluster> {
  const engine = await startStandIn(StandInKind.ENGINE, engineOptions);
  const configurationService = await startConfigurationService();
  configurationService.setFileSet(
    encodeBundle(createUnlimitedFileSet(engine.address)),
  );
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-overhead-'));
  const entries = await Promise.all(
    ['tunis-a', 'tunis-b', 'tunis-c'].map((dataCentre, index) =>
      startEntry(
        {
          instance: {id: `entry-${index + 1}`, dataCentre},
          callers: {host: '127.0.0.1', port: 0},
          peers: {host: '127.0.0.1', port: 0},
          platform: {address: configurationService.address},
          ticketKey: TICKET_KEY,
        },
        directory,
      ),
    ),
  );
  configurationService.setInstances(entries.map(entry => entry.instance));
  await waitUntilReady(entries);
  const ownerId = await fetchOwnerId(entries[0]!);
  const owner = entries.find(item => item.instance.id === ownerId);
  const entry = entries.find(item => item.instance.id !== ownerId);
  return {
    owner: owner!,
    entry: entry!,
    engineAddress: engine.address,
    stop: async () => {
      await Promise.all(entries.map(stopEntry));
      await configurationService.close();
      await engine.kill();
      rmSync(directory, {recursive: true, force: true});
    },
  };
}
