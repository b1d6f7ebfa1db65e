/** A small site on loopback: stand-ins in this process, entries in their own. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createFileSet, encodeBundle, loadFileSet} from '@buckthornbeam/config';
import type {FileSet, SettingsFile} from '@buckthornbeam/config';
import {startEngine} from '../engine/engine.js';
import type {EngineOptions, EngineStandIn} from '../engine/engine.js';
import {startPlainService} from '../plain_service.js';
import type {PlainServiceStandIn} from '../plain_service.js';
import {startPlatform} from '../platform.js';
import type {Platform} from '../platform.js';
import {startEntry, stopEntry, waitUntilReady} from './entry_process.js';
import type {EntryProcess} from './entry_process.js';

/** Options of {@link startCluster}. */
export interface ClusterOptions {
  /** Directory of the file set. */
  fileSetDirectory: string;
  /** Number of entry processes. */
  entries?: number;
  engine?: EngineOptions;
  /** Options of single engines that differ, by server. */
  engineChanges?: Readonly<Record<string, EngineOptions>>;
  /** Settings that differ from the defaults. */
  settings?: Partial<SettingsFile>;
}

/** A running site. */
export interface Cluster {
  readonly platform: Platform;
  readonly engines: ReadonlyMap<string, EngineStandIn>;
  readonly services: readonly PlainServiceStandIn[];
  readonly entries: readonly EntryProcess[];
  readonly fileSet: FileSet;
  stop(): Promise<void>;
}

const DEFAULT_ENTRIES = 6;
/** Key of the tickets of every site on loopback. */
export const TICKET_KEY = 'a-key-for-demonstrations-only-0001';

/** Replaces the addresses of a file set by those of the stand-ins. */
export function placeOnLoopback(
  set: FileSet,
  engines: ReadonlyMap<string, {address: string}>,
  service: {address: string},
): FileSet {
  return createFileSet({
    ...set.files,
    'backend-servers.json': {
      backendServers: [...set.servers.values()].map(server => ({
        ...server,
        address: engines.get(server.id)!.address,
      })),
    },
    'plain-services.json': {
      plainServices: [...set.services.values()].map(item => ({
        ...item,
        addresses: [service.address],
      })),
    },
  });
}

/** Starts a site with the file set of a directory; returns once it is ready. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const published = loadFileSet(options.fileSetDirectory);
  const engines = new Map<string, EngineStandIn>();
  for (const id of published.servers.keys()) {
    const changes = options.engineChanges?.[id];
    engines.set(id, await startEngine({...options.engine, ...changes}));
  }
  const service = await startPlainService();
  const platform = await startPlatform();
  const fileSet = placeOnLoopback(published, engines, service);
  platform.setFileSet(encodeBundle(fileSet));

  const dataCentres = [...fileSet.dataCentres.keys()];
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-'));
  const entries = await Promise.all(
    Array.from({length: options.entries ?? DEFAULT_ENTRIES}, (_, index) =>
      startEntry(
        {
          instance: {
            id: `entry-${index + 1}`,
            dataCentre: dataCentres[index % dataCentres.length]!,
          },
          callers: {host: '127.0.0.1', port: 0},
          peers: {host: '127.0.0.1', port: 0},
          platform: {address: platform.address},
          ticketKey: TICKET_KEY,
          ...options.settings,
        },
        directory,
      ),
    ),
  );
  platform.setInstances(entries.map(entry => entry.instance));
  await waitUntilReady(entries);

  return {
    platform,
    engines,
    services: [service],
    entries,
    fileSet,
    stop: async () => {
      await Promise.all(entries.map(stopEntry));
      await platform.close();
      await service.close();
      await Promise.all([...engines.values()].map(engine => engine.close()));
      rmSync(directory, {recursive: true, force: true});
    },
  };
}
