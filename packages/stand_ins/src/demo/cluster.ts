/** A small site on loopback: stand-ins in this process, entries in their own. */
import {spawn} from 'node:child_process';
import type {ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {createInterface} from 'node:readline';
import {createFileSet, encodeBundle, loadFileSet} from '@buckthornbeam/config';
import type {FileSet, SettingsFile} from '@buckthornbeam/config';
import {waitFor} from '@buckthornbeam/shared';
import {request} from 'undici';
import {startEngine} from '../engine/engine.js';
import type {EngineOptions, EngineStandIn} from '../engine/engine.js';
import {startPlainService} from '../plain_service.js';
import type {PlainServiceStandIn} from '../plain_service.js';
import {startPlatform} from '../platform.js';
import type {Platform, PlatformInstance} from '../platform.js';

/** One entry instance in a process of its own. */
export interface EntryProcess {
  readonly instance: PlatformInstance;
  readonly child: ChildProcess;
  /** Log lines so far. */
  readonly lines: string[];
}

/** Options of {@link startCluster}. */
export interface ClusterOptions {
  /** Directory of the file set. */
  fileSetDirectory: string;
  /** Number of entry processes. */
  entries?: number;
  engine?: EngineOptions;
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
const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 15_000;
const TICKET_KEY = 'a-key-for-demonstrations-only-0001';

function getCommandLinePath(): string {
  const require = createRequire(import.meta.url);
  return join(dirname(require.resolve('@buckthornbeam/cli')), 'main.js');
}

/** Waits for the `started` line and returns the addresses on it. */
function waitForStart(
  child: ChildProcess,
  lines: string[],
): Promise<{callerAddress: string; peerAddress: string}> {
  return new Promise((resolve, reject) => {
    child.once('exit', code =>
      reject(new DOMException(`exit ${code}: ${lines.join('\n')}`)),
    );
    createInterface({input: child.stderr!}).on('line', line => {
      lines.push(line);
      const match = /event=started.*callerAddress=(\S+) peerAddress=(\S+)/.exec(
        line,
      );
      if (match) {
        resolve({callerAddress: match[1]!, peerAddress: match[2]!});
      }
    });
  });
}

async function startEntry(
  settings: SettingsFile,
  directory: string,
): Promise<EntryProcess> {
  const path = join(directory, `${settings.instance.id}.json`);
  writeFileSync(path, JSON.stringify(settings));
  const child = spawn(
    process.execPath,
    [getCommandLinePath(), 'serve', '--settings', path],
    {stdio: ['ignore', 'ignore', 'pipe']},
  );
  const lines: string[] = [];
  const addresses = await waitForStart(child, lines);
  return {
    child,
    lines,
    instance: {...settings.instance, ...addresses, state: 'live'},
  };
}

function stopEntry(entry: EntryProcess): Promise<void> {
  return new Promise(resolve => {
    if (entry.child.exitCode !== null || entry.child.signalCode !== null) {
      resolve();
      return;
    }
    entry.child.once('exit', () => resolve());
    entry.child.kill('SIGTERM');
  });
}

/** Replaces the addresses of a file set by those of the stand-ins. */
function placeOnLoopback(
  set: FileSet,
  engines: ReadonlyMap<string, EngineStandIn>,
  service: PlainServiceStandIn,
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

async function countEntriesKnownTo(entry: EntryProcess): Promise<number> {
  const {callerAddress} = entry.instance;
  const response = await request(`http://${callerAddress}/v1/entries`);
  const list = (await response.body.json()) as {entries: unknown[]};
  return list.entries.length;
}

/** Waits until every entry names all entries. */
async function waitUntilReady(entries: readonly EntryProcess[]): Promise<void> {
  const endsAt = performance.now() + READY_TIMEOUT_MS;
  while (performance.now() < endsAt) {
    const counts = await Promise.all(entries.map(countEntriesKnownTo));
    if (counts.every(count => count === entries.length)) {
      return;
    }
    await waitFor(READY_POLL_MS);
  }
  throw new DOMException('the entries did not find each other');
}

/** Starts a site with the file set of a directory; returns once it is ready. */
export async function startCluster(options: ClusterOptions): Promise<Cluster> {
  const published = loadFileSet(options.fileSetDirectory);
  const engines = new Map<string, EngineStandIn>();
  for (const id of published.servers.keys()) {
    engines.set(id, await startEngine(options.engine));
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
