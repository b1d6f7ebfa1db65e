/** A site for measuring overhead: one engine, an owner and another entry. */
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
import {startPlatform} from '../platform.js';
import {StandInKind, startStandIn} from '../processes/stand_in_process.js';

/** A running site. */
export interface OverheadSite {
  /** Takes the calls; it owns no server. */
  entry: EntryProcess;
  /** Owns the engine. */
  owner: EntryProcess;
  engineAddress: string;
  stop(): Promise<void>;
}

const tunis = fileURLToPath(
  new URL('../../../../../examples/tunis', import.meta.url),
);

/** More than any run uses, so that no limit but the processor's is met. */
const AMPLE = 1_000_000_000;
const ENGINE_REQUESTS = 1024;

const engineOptions = {
  tokensPerSecond: 200,
  halfRateRequests: AMPLE,
  maximumRequests: ENGINE_REQUESTS,
  coldRequests: ENGINE_REQUESTS,
  prefillMs: 5,
  startsWarm: true,
};

function createAmpleFileSet(engineAddress: string): FileSet {
  const {files} = loadFileSet(tunis);
  const [server] = files['backend-servers.json'].backendServers;
  const capacity = {
    requests: ENGINE_REQUESTS,
    tokens: AMPLE,
    startingRequests: ENGINE_REQUESTS,
  };
  return createFileSet({
    ...files,
    'customers.json': {
      customers: files['customers.json'].customers.map(customer => ({
        ...customer,
        tokensPerSecond: AMPLE,
        burstTokens: AMPLE,
      })),
    },
    'backend-servers.json': {
      backendServers: [{...server, address: engineAddress, capacity}],
    },
  });
}

async function readOwner(entry: EntryProcess): Promise<string | null> {
  const {callerAddress} = entry.instance;
  const response = await request(`http://${callerAddress}/v1/status`);
  const status = (await response.body.json()) as {
    servers: Array<{owner: string | null}>;
  };
  return status.servers[0]?.owner ?? null;
}

/** Starts the site; returns once the owner is known. */
export async function startOverheadSite(): Promise<OverheadSite> {
  const engine = await startStandIn(StandInKind.ENGINE, engineOptions);
  const platform = await startPlatform();
  platform.setFileSet(encodeBundle(createAmpleFileSet(engine.address)));
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-overhead-'));
  const entries = await Promise.all(
    ['tunis-a', 'tunis-b', 'tunis-c'].map((dataCentre, index) =>
      startEntry(
        {
          instance: {id: `entry-${index + 1}`, dataCentre},
          callers: {host: '127.0.0.1', port: 0},
          peers: {host: '127.0.0.1', port: 0},
          platform: {address: platform.address},
          ticketKey: TICKET_KEY,
        },
        directory,
      ),
    ),
  );
  platform.setInstances(entries.map(entry => entry.instance));
  await waitUntilReady(entries);
  const ownerId = await readOwner(entries[0]!);
  const owner = entries.find(item => item.instance.id === ownerId);
  const entry = entries.find(item => item.instance.id !== ownerId);
  return {
    owner: owner!,
    entry: entry!,
    engineAddress: engine.address,
    stop: async () => {
      await Promise.all(entries.map(stopEntry));
      await platform.close();
      await engine.kill();
      rmSync(directory, {recursive: true, force: true});
    },
  };
}
