/** The faults, each a way to break a part of the site and to mend it. */
import {ServiceState, createFileSet, encodeBundle} from '@buckthornbeam/config';
import {waitFor} from '@buckthornbeam/shared';
import {request} from 'undici';
import {Flow} from '../processes/proxy.js';
import type {Proxy, ProxyMode} from '../processes/proxy.js';
import {endProcess} from '../processes/stand_in_process.js';
import {Mark, OUT_BOUND_MS} from './invariants.js';
import {stopGracefully} from './site.js';
import type {Site, SiteEntry, SiteServer} from './site.js';
import {getProbeEntry, getProbeIssuer} from './steps.js';
import type {ReachedStep, Step} from './steps.js';

/** Where a fault strikes. */
export interface FaultContext {
  site: Site;
  step: Step;
  reached: ReachedStep;
}

/** A fault by name. */
export interface Fault {
  name: string;
  /** Why it cannot happen at a step; undefined where it can. */
  explainAbsence(step: Step): string | undefined;
  /** Injects the fault; returns what mends it. */
  inject(context: FaultContext): Promise<() => Promise<void>>;
  /** How long the fault lasts, in milliseconds. */
  durationMs: number;
}

/** Longer than two leases of the site. */
const DURATION_MS = 2000;
const LATE_MS = 700;
/** A taken-out server is watched for some time after the bound. */
const OUT_DURATION_MS = OUT_BOUND_MS + 1500;
/** Delay with which the platform drops a dead instance from its list. */
const LIST_LAG_MS = 1000;
const SLOW_TOKENS_PER_SECOND = 10;
const USUAL_TOKENS_PER_SECOND = 150;

const explainNothing = () => undefined;
const explainForTicket = (step: Step) =>
  step.kind === 'chat'
    ? undefined
    : 'a call of a plain service passes no owner and no engine';
const explainForChat = (step: Step) =>
  step.kind === 'ticket'
    ? undefined
    : 'a chat has no ticket and passes no plain service';

async function setModes(
  proxies: readonly Proxy[],
  mode: Partial<ProxyMode>,
): Promise<void> {
  await Promise.all(proxies.map(proxy => proxy.setMode(mode)));
}

function markUnreachable(site: Site, entries: readonly SiteEntry[]): void {
  for (const {id} of entries) {
    site.ledger.record({type: 'mark', name: Mark.UNREACHABLE, subject: id});
  }
}

/** Faults of one entry instance, whatever role the probe sees in it. */
function createEntryFaults(
  role: string,
  explainAbsence: Fault['explainAbsence'],
  choose: (context: FaultContext) => Promise<SiteEntry> | SiteEntry,
): Fault[] {
  function createFault(
    name: string,
    inject: (entry: SiteEntry, site: Site) => Promise<() => Promise<void>>,
  ): Fault {
    return {
      name: `${name}-${role}`,
      explainAbsence,
      durationMs: DURATION_MS,
      inject: async context => {
        const entry = await choose(context);
        markUnreachable(context.site, [entry]);
        return inject(entry, context.site);
      },
    };
  }

  function createCut(
    name: string,
    sending: Partial<ProxyMode>,
    receiving: Partial<ProxyMode>,
  ): Fault {
    return createFault(name, async entry => {
      const own = [...entry.outgoing, entry.platform];
      await setModes(own, sending);
      await setModes(entry.incoming, receiving);
      return async () => {
        await setModes([...own, ...entry.incoming], {});
      };
    });
  }

  const toServer = {toServer: Flow.HOLD};
  const toClient = {toClient: Flow.HOLD};
  return [
    createFault('kill', async (entry, site) => {
      await endProcess(entry.process.child);
      return async () => {
        await waitFor(LIST_LAG_MS);
        await site.publishInstances();
      };
    }),
    createFault('replace', async entry => {
      await entry.replace();
      return async () => {};
    }),
    createFault('freeze', async entry => {
      entry.process.child.kill('SIGSTOP');
      return async () => {
        entry.process.child.kill('SIGCONT');
      };
    }),
    createCut('cut', {isClosed: true}, {isClosed: true}),
    createCut('cut-sending', toServer, toClient),
    createCut('cut-receiving', toClient, toServer),
    createCut('hang', {...toServer, ...toClient}, {...toServer, ...toClient}),
    createCut('late', {delayMs: LATE_MS}, {delayMs: LATE_MS}),
    createFault('stop', async (entry, site) => {
      const subject = entry.id;
      site.ledger.record({type: 'mark', name: Mark.STOP_ASKED, subject});
      const stopped = stopGracefully(entry).then(code => {
        const name = code === 0 ? Mark.STOP_ENDED : Mark.STOP_FAILED;
        site.ledger.record({type: 'mark', name, subject});
      });
      return async () => {
        await stopped;
        await site.publishInstances();
      };
    }),
  ];
}

/** Faults of a stand-in behind its proxy. */
function createServerFaults(
  role: string,
  explainAbsence: Fault['explainAbsence'],
  choose: (context: FaultContext) => SiteServer,
): Fault[] {
  const modes: Record<string, Partial<ProxyMode>> = {
    cut: {isClosed: true},
    'cut-sending': {toClient: Flow.HOLD},
    'cut-receiving': {toServer: Flow.HOLD},
    late: {delayMs: LATE_MS},
  };
  const cuts = Object.entries(modes).map(
    ([name, mode]): Fault => ({
      name: `${name}-${role}`,
      explainAbsence,
      durationMs: DURATION_MS,
      inject: async context => {
        const {proxy} = choose(context);
        await proxy.setMode(mode);
        return () => proxy.setMode({});
      },
    }),
  );
  return [
    {
      name: `kill-${role}`,
      explainAbsence,
      durationMs: DURATION_MS,
      inject: async context => {
        const {process} = choose(context);
        await process.kill();
        return () => process.replace();
      },
    },
    {
      name: `replace-${role}`,
      explainAbsence,
      durationMs: DURATION_MS,
      inject: async context => {
        await choose(context).process.replace();
        return async () => {};
      },
    },
    {
      name: `freeze-${role}`,
      explainAbsence,
      durationMs: DURATION_MS,
      inject: async context => {
        const {process} = choose(context);
        process.child.kill('SIGSTOP');
        return async () => {
          process.child.kill('SIGCONT');
        };
      },
    },
    ...cuts,
  ];
}

/** Faults of the platform as all entries see it. */
function createPlatformFaults(): Fault[] {
  function createFault(
    name: string,
    inject: (site: Site) => Promise<() => Promise<void>>,
  ): Fault {
    return {
      name: `${name}-platform`,
      explainAbsence: explainNothing,
      durationMs: DURATION_MS,
      inject: async ({site}) => {
        markUnreachable(site, site.entries);
        return inject(site);
      },
    };
  }
  const createCut = (name: string, mode: Partial<ProxyMode>) =>
    createFault(name, async site => {
      const proxies = site.entries.map(entry => entry.platform);
      await setModes(proxies, mode);
      return () => setModes(proxies, {});
    });
  const createMode = (name: string, mode: string) =>
    createFault(name, async ({platform}) => {
      await platform.call('setMode', mode);
      return async () => {
        await platform.call('setMode', 'normal');
      };
    });
  return [
    createMode('stale', 'stale'),
    createMode('down', 'down'),
    createCut('cut', {isClosed: true}),
    createCut('cut-sending', {toClient: Flow.HOLD}),
    createCut('cut-receiving', {toServer: Flow.HOLD}),
    createCut('late', {delayMs: LATE_MS}),
    createFault('freeze', async ({platform}) => {
      platform.child.kill('SIGSTOP');
      return async () => {
        platform.child.kill('SIGCONT');
      };
    }),
  ];
}

function getEngine({site, reached}: FaultContext): SiteServer {
  return (
    site.engines.find(engine => engine.id === reached.serverId) ??
    site.engines[0]!
  );
}

/** Finds the owner of the probe's server, to strike at it. */
async function findOwner(context: FaultContext): Promise<SiteEntry> {
  const {site} = context;
  const {callerAddress} = site.entries[1]!.process.instance;
  const response = await request(`http://${callerAddress}/v1/status`);
  const status = (await response.body.json()) as {
    servers: Array<{id: string; owner: string}>;
  };
  const {id} = getEngine(context);
  const owner = status.servers.find(server => server.id === id)?.owner;
  return site.entries.find(entry => entry.id === owner) ?? site.entries[0]!;
}

/** Publishes the probe's server as out, and later as in again. */
async function takeServerOut(context: FaultContext) {
  const {site} = context;
  const {id: subject} = getEngine(context);
  const publishState = async (state: ServiceState, name: string) => {
    const {backendServers} = site.fileSet.files['backend-servers.json'];
    await site.publish({
      'backend-servers.json': {
        backendServers: backendServers.map(server =>
          server.id === subject ? {...server, state} : server,
        ),
      },
    });
    site.ledger.record({type: 'mark', name, subject});
  };
  await publishState(ServiceState.OUT, Mark.SERVER_OUT);
  return () => publishState(ServiceState.IN, Mark.SERVER_IN);
}

/** Publishes the data centre of the probe's server as out, then as in. */
async function takeDataCentreOut(context: FaultContext) {
  const {site} = context;
  const {id: subject} = getEngine(context);
  const publishState = async (state: ServiceState, name: string) => {
    const {dataCentre} = site.fileSet.servers.get(subject)!;
    const {dataCentres} = site.fileSet.files['data-centres.json'];
    await site.publish({
      'data-centres.json': {
        dataCentres: dataCentres.map(item =>
          item.id === dataCentre ? {...item, state} : item,
        ),
      },
    });
    site.ledger.record({type: 'mark', name, subject});
  };
  await publishState(ServiceState.OUT, Mark.DATA_CENTRE_OUT);
  return () => publishState(ServiceState.IN, Mark.DATA_CENTRE_IN);
}

/** Two operators publish unlike sets of one revision, one after the other. */
async function publishRivalSets({site}: FaultContext) {
  await site.publish({});
  const current = encodeBundle(site.fileSet);
  const {classes} = site.fileSet.files['classes.json'];
  const other = createFileSet({
    ...site.fileSet.files,
    'classes.json': {
      classes: classes.map(item => ({
        ...item,
        maximumOutputTokens: item.maximumOutputTokens + 1,
      })),
    },
  });
  await site.platform.call('setFileSet', encodeBundle(other));
  return async () => {
    await site.platform.call('setFileSet', current);
  };
}

async function publishInvalidSet({site}: FaultContext) {
  const valid = encodeBundle(site.fileSet);
  await site.platform.call('setFileSet', valid.slice(0, valid.length / 2));
  return async () => {
    await site.platform.call('setFileSet', valid);
  };
}

function createServerSpecial(
  name: string,
  inject: (server: SiteServer, site: Site) => Promise<() => Promise<void>>,
): Fault {
  return {
    name,
    explainAbsence: explainForTicket,
    durationMs: DURATION_MS,
    inject: context => inject(getEngine(context), context.site),
  };
}

const specials: Fault[] = [
  createServerSpecial('cold-engine', async ({id, process}, {ledger}) => {
    ledger.record({type: 'mark', name: Mark.COLD, subject: id});
    await process.call('restart', true);
    return async () => {};
  }),
  createServerSpecial('straggler-engine', async ({process}) => {
    await process.call('setSpeed', SLOW_TOKENS_PER_SECOND);
    return async () => {
      await process.call('setSpeed', USUAL_TOKENS_PER_SECOND);
    };
  }),
  createServerSpecial('crossed-engine', async ({proxy}) => {
    await proxy.setMode({isCrossed: true});
    return () => proxy.setMode({});
  }),
  {
    name: 'server-out',
    explainAbsence: explainForTicket,
    durationMs: OUT_DURATION_MS,
    inject: takeServerOut,
  },
  {
    name: 'data-centre-out',
    explainAbsence: explainForTicket,
    durationMs: OUT_DURATION_MS,
    inject: takeDataCentreOut,
  },
  {
    name: 'operator-race',
    explainAbsence: explainNothing,
    durationMs: DURATION_MS,
    inject: publishRivalSets,
  },
  {
    name: 'invalid-set',
    explainAbsence: explainNothing,
    durationMs: DURATION_MS,
    inject: publishInvalidSet,
  },
];

/** All faults. */
export const faults: readonly Fault[] = [
  ...createEntryFaults('entry', explainNothing, ({site, step}) =>
    getProbeEntry(site, step),
  ),
  ...createEntryFaults('owner', explainForTicket, findOwner),
  ...createEntryFaults('issuer', explainForChat, ({site}) =>
    getProbeIssuer(site),
  ),
  ...createServerFaults('engine', explainForTicket, getEngine),
  ...createServerFaults('service', explainForChat, ({site}) => site.service),
  ...createPlatformFaults(),
  ...specials,
];
