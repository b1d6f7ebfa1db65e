/** A fleet without traffic: entries as child processes, and idle engines. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createFileSet, encodeBundle} from '@buckthornbeam/config';
import type {FileSet} from '@buckthornbeam/config';
import {waitFor} from '@buckthornbeam/shared';
import {request} from 'undici';
import {startEntry, stopEntry} from '../cluster/entry_process.js';
import type {EntryProcess} from '../cluster/entry_process.js';
import {TICKET_KEY} from '../cluster/cluster.js';
import {startConfigurationService} from '../configuration_service.js';
import type {ConfigurationServiceStandIn} from '../configuration_service.js';
import {startIdleEngines} from './idle_engines.js';
import {createLargeFileSet} from './large_file_set.js';

/** Fields of an entry's status that the measurement reads. */
export interface EntryStatus {
  ready: boolean;
  peers: Array<{state: string}>;
  servers: Array<{owner: string | null}>;
  peerTraffic: {bytesIn: number; bytesOut: number; calls: number};
}

/** Options of {@link startFleet}. */
export interface FleetOptions {
  entries: number;
  customers: number;
  serversPerEntry: number;
  entriesPerDataCentre: number;
  /** Interval between heartbeats; a lease lasts four intervals. */
  heartbeatMs: number;
}

export interface Fleet {
  readonly entries: readonly EntryProcess[];
  readonly configurationService: ConfigurationServiceStandIn;
  fetchStatuses(): Promise<EntryStatus[]>;
  stop(): Promise<void>;
}

const READY_POLL_MS = 250;
const READY_TIMEOUT_MS = 60_000;
const HEARTBEATS_PER_LEASE = 4;
/** Entries that are started concurrently. */
const START_BATCH_SIZE = 8;

async function fetchStatus(entry: EntryProcess): Promise<EntryStatus> {
  const {callerAddress} = entry.instance;
  const response = await request(`http://${callerAddress}/v1/status`);
  return (await response.body.json()) as EntryStatus;
}

/** Replaces the addresses of the backend servers by those of the engines. */
function createFleetFileSet(
  set: FileSet,
  addresses: readonly string[],
): FileSet {
  return createFileSet({
    ...set.files,
    'backend-servers.json': {
      backendServers: [...set.servers.values()].map((server, index) => ({
        ...server,
        address: addresses[index]!,
      })),
    },
  });
}

async function startEntries(
  options: FleetOptions,
  serviceAddress: string,
  directory: string,
): Promise<EntryProcess[]> {
  const entries: EntryProcess[] = [];
  while (entries.length < options.entries) {
    const count = Math.min(START_BATCH_SIZE, options.entries - entries.length);
    const batch = Array.from({length: count}, (_, offset) => {
      const index = entries.length + offset;
      const dataCentreIndex = Math.floor(index / options.entriesPerDataCentre);
      return startEntry(
        {
          instance: {
            id: `entry-${index + 1}`,
            dataCentre: `data-centre-${dataCentreIndex}`,
          },
          callers: {host: '127.0.0.1', port: 0},
          peers: {host: '127.0.0.1', port: 0},
          platform: {address: serviceAddress},
          ticketKey: TICKET_KEY,
          timing: {
            heartbeatMs: options.heartbeatMs,
            leaseMs: options.heartbeatMs * HEARTBEATS_PER_LEASE,
          },
        },
        directory,
      );
    });
    entries.push(...(await Promise.all(batch)));
  }
  return entries;
}

async function waitUntilAllReady(
  entries: readonly EntryProcess[],
): Promise<void> {
  const deadline = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < deadline) {
    const statuses = await Promise.all(entries.map(fetchStatus));
    const isReady = (status: EntryStatus) =>
      status.ready && status.servers.every(server => server.owner !== null);
    if (statuses.every(isReady)) {
      return;
    }
    await waitFor(READY_POLL_MS);
  }
  throw new DOMException('the fleet was not ready in time');
}

/**
 * Starts a fleet; resolves once every entry is ready and every server has an
 * owner, and throws when that takes longer than a minute.
 */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const {entries: count, entriesPerDataCentre} = options;
  const engines = await startIdleEngines(count * options.serversPerEntry);
  const configurationService = await startConfigurationService();
  const fileSet = createFleetFileSet(
    createLargeFileSet({
      customers: options.customers,
      servers: count * options.serversPerEntry,
      dataCentres: Math.ceil(count / entriesPerDataCentre),
    }),
    engines.addresses,
  );
  configurationService.setFileSet(encodeBundle(fileSet));
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-fleet-'));
  const entries = await startEntries(
    options,
    configurationService.address,
    directory,
  );
  configurationService.setInstances(entries.map(entry => entry.instance));

  async function stopFleet(): Promise<void> {
    await Promise.all(entries.map(stopEntry));
    await configurationService.close();
    await engines.close();
    rmSync(directory, {recursive: true, force: true});
  }

  try {
    await waitUntilAllReady(entries);
  } catch (error) {
    await stopFleet();
    throw error;
  }
  return {
    entries,
    configurationService,
    fetchStatuses: () => Promise.all(entries.map(fetchStatus)),
    stop: stopFleet,
  };
}
