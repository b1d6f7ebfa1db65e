/** A site whose every process stands behind fault proxies. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {createFileSet, encodeBundle, loadFileSet} from '@buckthornbeam/config';
import type {FileSet, FileSetFiles} from '@buckthornbeam/config';
import {TICKET_KEY, placeOnLoopback} from '../cluster/cluster.js';
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
import {createLedger} from './ledger.js';
import type {Ledger} from './ledger.js';

/** An entry instance with the proxies around it. */
export interface SiteEntry {
  readonly id: string;
  process: EntryProcess;
  /** Before its callers. */
  readonly caller: Proxy;
  /** Between it and the platform. */
  readonly platform: Proxy;
  /** Connections that it opens to peers, and that peers open to it. */
  readonly outgoing: Proxy[];
  readonly incoming: Proxy[];
  /** Starts it anew at its old addresses, as a new incarnation. */
  replace(): Promise<void>;
}

/** A backend server or plain service with its proxy. */
export interface SiteServer {
  readonly id: string;
  readonly process: StandInProcess;
  readonly proxy: Proxy;
}

/** A running site. */
export interface Site {
  readonly ledger: Ledger;
  readonly entries: readonly SiteEntry[];
  readonly engines: readonly SiteServer[];
  readonly service: SiteServer;
  readonly platform: StandInProcess;
  readonly fileSet: FileSet;
  /** Publishes the next revision with some files changed. */
  publish(change: Partial<FileSetFiles>): Promise<void>;
  /** Publishes the list of live instances. */
  publishInstances(): Promise<void>;
  stop(): Promise<void>;
}

/** Sizes of the site. */
const ENTRY_COUNT = 3;
const SERVER_COUNT = 3;
/** Requests that a cold engine bears. */
export const COLD_REQUESTS = 2;
/** Short periods, so that leases end within a run; in milliseconds. */
export const timing = {heartbeatMs: 200, leaseMs: 800, watchMs: 5000};

const capacity = {
  requests: 6,
  tokens: 24_000,
  startingRequests: COLD_REQUESTS,
};
const engineOptions = {
  tokensPerSecond: 150,
  coldRequests: COLD_REQUESTS,
  warmAfterRequests: 12,
};
const UNLIMITED_TOKENS = 10_000_000;
const examples = fileURLToPath(
  new URL('../../../../../examples/tunis', import.meta.url),
);

function createSmallFileSet(): FileSet {
  const {files} = loadFileSet(examples);
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

/** Starts a site and returns once its entries name each other. */
export async function startSite(): Promise<Site> {
  const ledger = createLedger();
  const directory = mkdtempSync(join(tmpdir(), 'buckthornbeam-site-'));
  const small = createSmallFileSet();
  const proxies: Proxy[] = [];

  async function openProxy(target: string): Promise<Proxy> {
    const proxy = await startProxy(target);
    proxies.push(proxy);
    return proxy;
  }

  async function startEngineBehindProxy(id: string): Promise<SiteServer> {
    const process = await startStandIn(
      StandInKind.ENGINE,
      engineOptions,
      (event: EngineEvent) =>
        ledger.record({...event, type: 'engine', serverId: id}),
    );
    return {id, process, proxy: await openProxy(process.address)};
  }

  async function startServiceBehindProxy(): Promise<SiteServer> {
    const process = await startStandIn(
      StandInKind.PLAIN_SERVICE,
      {},
      (reference: string) => ledger.record({type: 'execution', reference}),
    );
    return {id: 'registry', process, proxy: await openProxy(process.address)};
  }

  const [platform, service, ...engines] = await Promise.all([
    startStandIn(StandInKind.PLATFORM, {}),
    startServiceBehindProxy(),
    ...[...small.servers.keys()].map(startEngineBehindProxy),
  ]);
  const addresses = new Map(
    engines.map(({id, proxy}) => [id, {address: proxy.address}]),
  );
  let fileSet = placeOnLoopback(small, addresses, service.proxy);
  await platform.call('setFileSet', encodeBundle(fileSet));

  async function startProcess(
    id: string,
    platformAddress: string,
    old?: EntryProcess,
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
          port: getPort(old?.instance.callerAddress),
        },
        peers: {host: '127.0.0.1', port: getPort(old?.instance.peerAddress)},
        platform: {
          address: platformAddress,
          instanceService: `list-for-${id}`,
        },
        ticketKey: TICKET_KEY,
        logLevel: 'debug',
        timing,
      },
      directory,
    );
  }

  async function startSiteEntry(id: string): Promise<SiteEntry> {
    const toPlatform = await openProxy(platform.address);
    const process = await startProcess(id, toPlatform.address);
    const entry: SiteEntry = {
      id,
      process,
      caller: await openProxy(process.instance.callerAddress),
      platform: toPlatform,
      outgoing: [],
      incoming: [],
      replace: async () => {
        await endProcess(entry.process.child);
        entry.process = await startProcess(
          id,
          toPlatform.address,
          entry.process,
        );
      },
    };
    return entry;
  }

  const entries = await Promise.all(
    Array.from({length: ENTRY_COUNT}, (_, index) =>
      startSiteEntry(`entry-${index + 1}`),
    ),
  );
  /** Peer addresses by target, then by the service name of the reader. */
  const linkAddresses = new Map<string, Record<string, string>>();
  for (const target of entries) {
    const links: Record<string, string> = {};
    for (const source of entries.filter(entry => entry !== target)) {
      const link = await openProxy(target.process.instance.peerAddress);
      source.outgoing.push(link);
      target.incoming.push(link);
      links[`list-for-${source.id}`] = link.address;
    }
    linkAddresses.set(target.id, links);
  }

  function isRunning({process}: SiteEntry): boolean {
    return process.child.exitCode === null && process.child.signalCode === null;
  }

  const site: Site = {
    ledger,
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
          peerAddresses: linkAddresses.get(id)!,
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
  await site.publishInstances();
  await waitUntilReady(entries.map(entry => entry.process));
  return site;
}

/** Asks an entry to stop; returns its exit code once it has ended. */
export async function stopGracefully(entry: SiteEntry): Promise<number | null> {
  await stopEntry(entry.process);
  return entry.process.child.exitCode;
}
