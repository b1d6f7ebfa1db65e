/** A cluster in which every process is behind proxies that inject faults. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createFileSet, encodeBundle, loadFileSet} from '@buckthornbeam/config';
import type {FileSet, FileSetFiles} from '@buckthornbeam/config';
import {TICKET_KEY, createLoopbackFileSet} from '../cluster/cluster.js';
import {
  startEntry,
  stopEntry,
  waitUntilReady,
} from '../cluster/entry_process.js';
import type {EntryProcess} from '../cluster/entry_process.js';
import type {EngineEvent} from '../engine/engine.js';
import {startProxy} from '../processes/proxy.js';
import type {Proxy} from '../processes/proxy.js';
import {
  StandInKind,
  endProcess,
  startStandIn,
} from '../processes/stand_in_process.js';
import type {StandInProcess} from '../processes/stand_in_process.js';
import {createRunHistory} from './run_history.js';
import type {RunHistory} from './run_history.js';

/** An entry and the proxies for its connections. */
export interface ClusterEntry {
  readonly id: string;
  process: EntryProcess;
  /** Proxy for connections from callers. */
  readonly caller: Proxy;
  /** Proxy for connections to the platform, its configuration service. */
  readonly platform: Proxy;
  /** Proxies for connections to peers. */
  readonly outgoing: Proxy[];
  /** Proxies for connections from peers. */
  readonly incoming: Proxy[];
  /** Kills the process and starts a new incarnation at the same addresses. */
  replace(): Promise<void>;
}

/** A backend server or plain service with its proxy. */
export interface ClusterServer {
  readonly id: string;
  readonly process: StandInProcess;
  readonly proxy: Proxy;
}

export interface TestCluster {
  readonly history: RunHistory;
  readonly entries: readonly ClusterEntry[];
  readonly engines: readonly ClusterServer[];
  readonly service: ClusterServer;
  readonly platform: StandInProcess;
  readonly fileSet: FileSet;
  /** Publishes the next revision of the file set, with these files replaced. */
  publish(change: Partial<FileSetFiles>): Promise<void>;
  /** Publishes the list of the instances whose processes run. */
  publishInstances(): Promise<void>;
  stop(): Promise<void>;
}

const ENTRY_COUNT = 3;
const SERVER_COUNT = 3;
/** Concurrent requests above which a cold engine fails. */
export const COLD_REQUEST_LIMIT = 2;
/** Short enough that leases expire within a run. */
export const timing = {heartbeatMs: 200, leaseMs: 800, watchMs: 5000};

const capacity = {
  requests: 6,
  tokens: 24_000,
  startingRequests: COLD_REQUEST_LIMIT,
};
const engineOptions = {
  tokensPerSecond: 150,
  coldRequests: COLD_REQUEST_LIMIT,
  warmAfterRequests: 12,
};
/** Low, so that the owners shed requests during a rush of one class. */
const MAXIMUM_QUEUED_REQUESTS = 12;
/** Long enough to drain: answers take about a second. */
const STOP_TIMEOUT_MS = 20_000;
const UNLIMITED_TOKENS = 10_000_000;
const exampleDirectory = fileURLToPath(
  new URL('../../../../../examples/tunis', import.meta.url),
);

function createTestFileSet(): FileSet {
  const {files} = loadFileSet(exampleDirectory);
  const servers = files['backend-servers.json'].backendServers;
  const customers = files['customers.json'].customers;
  return createFileSet({
    ...files,
    'backend-servers.json': {
      backendServers: servers
        .slice(0, SERVER_COUNT)
        .map(server => ({...server, capacity})),
    },
    'customers.json': {
      customers: customers.map(customer => ({
        ...customer,
        tokensPerSecond: UNLIMITED_TOKENS,
        burstTokens: UNLIMITED_TOKENS,
      })),
    },
  });
}

/** Starts a cluster; resolves once its entries have discovered each other. */
export async function startTestCluster(): Promise<TestCluster> {
  const history = createRunHistory();
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-site-'));
  const initialFileSet = createTestFileSet();
  const proxies: Proxy[] = [];

  async function openProxy(target: string): Promise<Proxy> {
    const proxy = await startProxy(target);
    proxies.push(proxy);
    return proxy;
  }

  async function startEngineBehindProxy(id: string): Promise<ClusterServer> {
    const process = await startStandIn(
      StandInKind.ENGINE,
      engineOptions,
      (event: EngineEvent) =>
        history.record({...event, type: 'engine', serverId: id}),
    );
    return {id, process, proxy: await openProxy(process.address)};
  }

  async function startServiceBehindProxy(): Promise<ClusterServer> {
    const process = await startStandIn(
      StandInKind.PLAIN_SERVICE,
      {},
      (reference: string) => history.record({type: 'execution', reference}),
    );
    return {id: 'registry', process, proxy: await openProxy(process.address)};
  }

  const [platform, service, ...engines] = await Promise.all([
    startStandIn(StandInKind.CONFIGURATION_SERVICE, {}),
    startServiceBehindProxy(),
    ...[...initialFileSet.servers.keys()].map(startEngineBehindProxy),
  ]);
  const addresses = new Map(
    engines.map(({id, proxy}) => [id, {address: proxy.address}]),
  );
  let fileSet = createLoopbackFileSet(initialFileSet, addresses, service.proxy);
  await platform.call('setFileSet', encodeBundle(fileSet));

  async function startProcess(
    id: string,
    platformAddress: string,
    previous?: EntryProcess,
  ): Promise<EntryProcess> {
    const index = Number(id.split('-')[1]) - 1;
    const dataCentres = engines.map(
      engine => fileSet.servers.get(engine.id)!.dataCentre,
    );
    const getPort = (address = ':0') => Number(address.split(':')[1]);
    return startEntry(
      {
        instance: {id, dataCentre: dataCentres[index]!},
        callers: {
          host: '127.0.0.1',
          port: getPort(previous?.instance.callerAddress),
        },
        peers: {
          host: '127.0.0.1',
          port: getPort(previous?.instance.peerAddress),
        },
        platform: {
          address: platformAddress,
          instanceService: `list-for-${id}`,
        },
        ticketKey: TICKET_KEY,
        logLevel: 'debug',
        timing,
        limits: {maximumQueuedRequests: MAXIMUM_QUEUED_REQUESTS},
      },
      directory,
    );
  }

  async function startClusterEntry(id: string): Promise<ClusterEntry> {
    const platformProxy = await openProxy(platform.address);
    const process = await startProcess(id, platformProxy.address);
    const entry: ClusterEntry = {
      id,
      process,
      caller: await openProxy(process.instance.callerAddress),
      platform: platformProxy,
      outgoing: [],
      incoming: [],
      replace: async () => {
        await endProcess(entry.process.child);
        entry.process = await startProcess(
          id,
          platformProxy.address,
          entry.process,
        );
      },
    };
    return entry;
  }

  const entries = await Promise.all(
    Array.from({length: ENTRY_COUNT}, (_, index) =>
      startClusterEntry(`entry-${index + 1}`),
    ),
  );
  /**
   * Addresses of the proxies for peer connections, by the entry that accepts
   * the connection and the instance service of the entry that opens it.
   */
  const peerProxyAddresses = new Map<string, Record<string, string>>();
  for (const target of entries) {
    const addressesBySource: Record<string, string> = {};
    for (const source of entries.filter(entry => entry !== target)) {
      const proxy = await openProxy(target.process.instance.peerAddress);
      source.outgoing.push(proxy);
      target.incoming.push(proxy);
      addressesBySource[`list-for-${source.id}`] = proxy.address;
    }
    peerProxyAddresses.set(target.id, addressesBySource);
  }

  function isRunning({process}: ClusterEntry): boolean {
    return process.child.exitCode === null && process.child.signalCode === null;
  }

  const cluster: TestCluster = {
    history,
    entries,
    engines,
    service,
    platform,
    get fileSet() {
      return fileSet;
    },
    publish: async change => {
      const revision = fileSet.version.revision + 1;
      const basedOn = fileSet.version.digest;
      fileSet = createFileSet({
        ...fileSet.files,
        'service.json': {...fileSet.files['service.json'], revision, basedOn},
        ...change,
      });
      await platform.call('setFileSet', encodeBundle(fileSet));
    },
    publishInstances: async () => {
      const instances = entries
        .filter(isRunning)
        .map(({id, process, caller}) => ({
          ...process.instance,
          callerAddress: caller.address,
          peerAddresses: peerProxyAddresses.get(id)!,
        }));
      await platform.call('setInstances', instances);
    },
    stop: async () => {
      const children = entries.map(entry => entry.process.child);
      await Promise.all(children.map(endProcess));
      const standIns = [platform, service.process];
      standIns.push(...engines.map(engine => engine.process));
      await Promise.all(standIns.map(standIn => standIn.kill()));
      await Promise.all(proxies.map(proxy => proxy.close()));
      rmSync(directory, {recursive: true, force: true});
    },
  };
  await cluster.publishInstances();
  await waitUntilReady(entries.map(entry => entry.process));
  return cluster;
}

/**
 * Asks an entry to stop and kills it after a timeout. Returns its exit code, or
 * null if it was killed.
 */
export async function stopGracefully(
  entry: ClusterEntry,
): Promise<number | null> {
  const {child} = entry.process;
  const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
  await stopEntry(entry.process);
  clearTimeout(timer);
  return child.exitCode;
}
