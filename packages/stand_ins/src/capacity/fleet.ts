/** A fleet without load: entries in processes of their own, idle engines. */
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
import {startPlatform} from '../platform.js';
import type {Platform} from '../platform.js';
import {startIdleEngines} from './idle_engines.js';
import {createLargeFileSet} from './large_file_set.js';

/** Part of an entry's status that the measurement reads. */
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
  /** Backend servers for each entry. */
  serversPerEntry: number;
  /** Entries in one data centre. */
  entriesPerDataCentre: number;
  /** Period of heartbeats, in milliseconds; a lease is four of them. */
  heartbeatMs: number;
}

/** A running fleet. */
export interface Fleet {
  readonly entries: readonly EntryProcess[];
  readonly platform: Platform;
  fetchStatuses(): Promise<EntryStatus[]>;
  stop(): Promise<void>;
}

const READY_POLL_MS = 250;
const READY_TIMEOUT_MS = 60_000;
/** Heartbeats within one lease. */
const HEARTBEATS_PER_LEASE = 4;
/** Processes that are started side by side. */
const START_BATCH = 8;

async function fetchStatus(entry: EntryProcess): Promise<EntryStatus> {
  const {callerAddress} = entry.instance;
  const response = await request(`http://${callerAddress}/v1/status`);
  return (await response.body.json()) as EntryStatus;
}

/** Gives each server of a set the address of an engine. */
function placeOnEngines(set: FileSet, addresses: readonly string[]): FileSet {
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
  platformAddress: string,
  directory: string,
): Promise<EntryProcess[]> {
  const entries: EntryProcess[] = [];
  while (entries.length < options.entries) {
    const count = Math.min(START_BATCH, options.entries - entries.length);
    const batch = Array.from({length: count}, (_, offset) => {
      const index = entries.length + offset;
      const place = Math.floor(index / options.entriesPerDataCentre);
      return startEntry(
        {
          instance: {
            id: `entry-${index + 1}`,
            dataCentre: `data-centre-${place}`,
          },
          callers: {host: '127.0.0.1', port: 0},
          peers: {host: '127.0.0.1', port: 0},
          platform: {address: platformAddress},
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
  const endsAt = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < endsAt) {
    const statuses = await Promise.all(entries.map(fetchStatus));
    const isReady = (status: EntryStatus) =>
      status.ready && status.servers.every(server => server.owner !== null);
    if (statuses.every(isReady)) {
      return;
    }
    await waitFor(READY_POLL_MS);
  }
  throw new DOMException('the fleet did not become ready in time');
}

/** Starts a fleet; returns once every entry is ready and every server owned. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const {entries: count, entriesPerDataCentre} = options;
  const engines = await startIdleEngines(count * options.serversPerEntry);
  const platform = await startPlatform();
  const fileSet = placeOnEngines(
    createLargeFileSet({
      customers: options.customers,
      servers: count * options.serversPerEntry,
      dataCentres: Math.ceil(count / entriesPerDataCentre),
    }),
    engines.addresses,
  );
  platform.setFileSet(encodeBundle(fileSet));
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-fleet-'));
  const entries = await startEntries(options, platform.address, directory);
  platform.setInstances(entries.map(entry => entry.instance));

  async function stopFleet(): Promise<void> {
    await Promise.all(entries.map(stopEntry));
    await platform.close();
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
    platform,
    fetchStatuses: () => Promise.all(entries.map(fetchStatus)),
    stop: stopFleet,
  };
}
