/** A small cluster on loopback: stand-ins in this process, entries as children. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {createFileSet, encodeBundle, loadFileSet} from '@buckthornbeam/config';
import type {FileSet, SettingsFile} from '@buckthornbeam/config';
import {startEngine} from '../engine/engine.js';
import type {EngineOptions, EngineStandIn} from '../engine/engine.js';
import {startPlainService} from '../plain_service.js';
import type {PlainServiceStandIn} from '../plain_service.js';
import {startConfigurationService} from '../configuration_service.js';
import type {ConfigurationServiceStandIn} from '../configuration_service.js';
import {startEntry, stopEntry, waitUntilReady} from './entry_process.js';
import type {EntryProcess} from './entry_process.js';

/** Options of {@link startCluster}. */
export interface ClusterOptions {
  fileSetDirectory: string;
  entries?: number;
  engine?: EngineOptions;
  /** Overrides of `engine` by server id. */
  engineChanges?: Readonly<Record<string, EngineOptions>>;
  /** Settings of every entry that differ from the defaults. */
  settings?: Partial<SettingsFile>;
}

export interface Cluster {
  readonly configurationService: ConfigurationServiceStandIn;
  readonly engines: ReadonlyMap<string, EngineStandIn>;
  readonly services: readonly PlainServiceStandIn[];
  readonly entries: readonly EntryProcess[];
  readonly fileSet: FileSet;
  stop(): Promise<void>;
}

const DEFAULT_ENTRIES = 6;
/** Signs the tickets of every cluster on loopback. */
export const TICKET_KEY = 'a-key-for-demonstrations-only-0001';

/** Returns a copy of a file set with the addresses of the stand-ins. */
export function createLoopbackFileSet(
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

/**
 * Starts a cluster with the file set of a directory; resolves once every entry
 * lists all entries.
 */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const published = loadFileSet(options.fileSetDirectory);
  const engines = new Map<string, EngineStandIn>();
  for (const id of published.servers.keys()) {
    const overrides = options.engineChanges?.[id];
    engines.set(id, await startEngine({...options.engine, ...overrides}));
  }
  const service = await startPlainService();
  const configurationService = await startConfigurationService();
  const fileSet = createLoopbackFileSet(published, engines, service);
  configurationService.setFileSet(encodeBundle(fileSet));

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
          platform: {address: configurationService.address},
          ticketKey: TICKET_KEY,
          ...options.settings,
        },
        directory,
      ),
    ),
  );
  configurationService.setInstances(entries.map(entry => entry.instance));
  await waitUntilReady(entries);

  return {
    configurationService,
    engines,
    services: [service],
    entries,
    fileSet,
    stop: async () => {
      await Promise.all(entries.map(stopEntry));
      await configurationService.close();
      await service.close();
      await Promise.all([...engines.values()].map(engine => engine.close()));
      rmSync(directory, {recursive: true, force: true});
    },
  };
}
