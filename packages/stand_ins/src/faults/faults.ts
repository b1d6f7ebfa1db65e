/** The faults: each injects a failure into the test cluster and can undo it. */
import {ServiceState, createFileSet, encodeBundle} from '@buckthornbeam/config';
import {waitFor} from '@buckthornbeam/shared';
import {request} from 'undici';
import {Flow} from '../processes/proxy.js';
import type {Proxy, ProxyMode} from '../processes/proxy.js';
import {endProcess} from '../processes/stand_in_process.js';
import type {Caller} from './caller.js';
import {Mark, OUT_OF_SERVICE_BOUND_MS} from './invariants.js';
import {stopGracefully} from './test_cluster.js';
import type {ClusterEntry, ClusterServer, TestCluster} from './test_cluster.js';
import {getProbeEntry, getProbeIssuer} from './steps.js';
import type {ReachedStep, Step} from './steps.js';

/** Where and when a fault is injected. */
export interface FaultContext {
  cluster: TestCluster;
  caller: Caller;
  step: Step;
  reached: ReachedStep;
}

export interface Fault {
  name: string;
  /** Returns why the fault cannot occur at a step; undefined if it can. */
  explainAbsence(step: Step): string | undefined;
  /** Injects the fault; returns a function that undoes it. */
  inject(context: FaultContext): Promise<() => Promise<void>>;
  /** Time from the injection to the undo, in milliseconds. */
  durationMs: number;
}

/** Longer than two leases of the test cluster, so that leases expire. */
const FAULT_DURATION_MS = 2000;
const LATE_DELAY_MS = 700;
/** Outlasts the bound, so that requests after it are detected. */
const OUT_OF_SERVICE_DURATION_MS = OUT_OF_SERVICE_BOUND_MS + 1500;
/** Delay until the platform removes a dead instance from its list. */
const LIST_REMOVAL_DELAY_MS = 1000;
/** More than three times the concurrent requests of all servers together. */
const RUSH_CALLERS = 100;
const RUSH_DURATION_MS = 5000;
const FALSE_COMPLETED_REQUESTS = 100_000;
const SLOW_TOKENS_PER_SECOND = 10;
const NORMAL_TOKENS_PER_SECOND = 150;

const explainNoAbsence = () => undefined;
const explainChatOnly = (step: Step) =>
  step.kind === 'chat'
    ? undefined
    : 'a call of a plain service involves no owner and no engine';
const explainTicketOnly = (step: Step) =>
  step.kind === 'ticket'
    ? undefined
    : 'a chat has no ticket and involves no plain service';

async function setModes(
  proxies: readonly Proxy[],
  mode: Partial<ProxyMode>,
): Promise<void> {
  await Promise.all(proxies.map(proxy => proxy.setMode(mode)));
}

function markUnreachable(
  cluster: TestCluster,
  entries: readonly ClusterEntry[],
): void {
  for (const {id} of entries) {
    cluster.history.record({type: 'mark', name: Mark.UNREACHABLE, subject: id});
  }
}

/** Creates the faults of one entry, named after its role for the probe. */
function createEntryFaults(
  role: string,
  explainAbsence: Fault['explainAbsence'],
  chooseEntry: (context: FaultContext) => Promise<ClusterEntry> | ClusterEntry,
): Fault[] {
  function createFault(
    name: string,
    inject: (
      entry: ClusterEntry,
      cluster: TestCluster,
    ) => Promise<() => Promise<void>>,
  ): Fault {
    return {
      name: `${name}-${role}`,
      explainAbsence,
      durationMs: FAULT_DURATION_MS,
      inject: async context => {
        const entry = await chooseEntry(context);
        markUnreachable(context.cluster, [entry]);
        return inject(entry, context.cluster);
      },
    };
  }

  function createCut(
    name: string,
    sending: Partial<ProxyMode>,
    receiving: Partial<ProxyMode>,
  ): Fault {
    return createFault(name, async entry => {
      const outgoing = [...entry.outgoing, entry.platform];
      await setModes(outgoing, sending);
      await setModes(entry.incoming, receiving);
      return async () => {
        await setModes([...outgoing, ...entry.incoming], {});
      };
    });
  }

  const toServer = {toServer: Flow.HOLD};
  const toClient = {toClient: Flow.HOLD};
  return [
    createFault('kill', async (entry, cluster) => {
      await endProcess(entry.process.child);
      return async () => {
        await waitFor(LIST_REMOVAL_DELAY_MS);
        await cluster.publishInstances();
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
    createCut('late', {delayMs: LATE_DELAY_MS}, {delayMs: LATE_DELAY_MS}),
    createFault('stop', async (entry, cluster) => {
      const subject = entry.id;
      cluster.history.record({type: 'mark', name: Mark.STOP_ASKED, subject});
      const stopped = stopGracefully(entry).then(code => {
        const name = code === 0 ? Mark.STOP_ENDED : Mark.STOP_FAILED;
        cluster.history.record({type: 'mark', name, subject});
      });
      return async () => {
        await stopped;
        await cluster.publishInstances();
      };
    }),
  ];
}

/** Creates the faults of a stand-in server behind its proxy. */
function createServerFaults(
  role: string,
  explainAbsence: Fault['explainAbsence'],
  chooseServer: (context: FaultContext) => ClusterServer,
): Fault[] {
  const modes: Record<string, Partial<ProxyMode>> = {
    cut: {isClosed: true},
    'cut-sending': {toClient: Flow.HOLD},
    'cut-receiving': {toServer: Flow.HOLD},
    late: {delayMs: LATE_DELAY_MS},
  };
  const cuts = Object.entries(modes).map(
    ([name, mode]): Fault => ({
      name: `${name}-${role}`,
      explainAbsence,
      durationMs: FAULT_DURATION_MS,
      inject: async context => {
        const {proxy} = chooseServer(context);
        await proxy.setMode(mode);
        return () => proxy.setMode({});
      },
    }),
  );
  return [
    {
      name: `kill-${role}`,
      explainAbsence,
      durationMs: FAULT_DURATION_MS,
      inject: async context => {
        const {process} = chooseServer(context);
        await process.kill();
        return () => process.replace();
      },
    },
    {
      name: `replace-${role}`,
      explainAbsence,
      durationMs: FAULT_DURATION_MS,
      inject: async context => {
        await chooseServer(context).process.replace();
        return async () => {};
      },
    },
    {
      name: `freeze-${role}`,
      explainAbsence,
      durationMs: FAULT_DURATION_MS,
      inject: async context => {
        const {process} = chooseServer(context);
        process.child.kill('SIGSTOP');
        return async () => {
          process.child.kill('SIGCONT');
        };
      },
    },
    ...cuts,
  ];
}

/** Creates the faults of the platform, which affect all entries. */
function createPlatformFaults(): Fault[] {
  function createFault(
    name: string,
    inject: (cluster: TestCluster) => Promise<() => Promise<void>>,
  ): Fault {
    return {
      name: `${name}-platform`,
      explainAbsence: explainNoAbsence,
      durationMs: FAULT_DURATION_MS,
      inject: async ({cluster}) => {
        markUnreachable(cluster, cluster.entries);
        return inject(cluster);
      },
    };
  }
  const createCut = (name: string, mode: Partial<ProxyMode>) =>
    createFault(name, async cluster => {
      const proxies = cluster.entries.map(entry => entry.platform);
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
    createCut('late', {delayMs: LATE_DELAY_MS}),
    createFault('freeze', async ({platform}) => {
      platform.child.kill('SIGSTOP');
      return async () => {
        platform.child.kill('SIGCONT');
      };
    }),
  ];
}

function getEngine({cluster, reached}: FaultContext): ClusterServer {
  return (
    cluster.engines.find(engine => engine.id === reached.serverId) ??
    cluster.engines[0]!
  );
}

/** Returns the owner of the probe's server by the status of an entry. */
async function findOwner(context: FaultContext): Promise<ClusterEntry> {
  const {cluster} = context;
  const {callerAddress} = cluster.entries[1]!.process.instance;
  const response = await request(`http://${callerAddress}/v1/status`);
  const status = (await response.body.json()) as {
    servers: Array<{id: string; owner: string}>;
  };
  const {id} = getEngine(context);
  const owner = status.servers.find(server => server.id === id)?.owner;
  return cluster.entries.find(item => item.id === owner) ?? cluster.entries[0]!;
}

/** Publishes the probe's server as out of service; the undo puts it back in. */
async function takeServerOut(context: FaultContext) {
  const {cluster} = context;
  const {id: subject} = getEngine(context);
  const publishState = async (state: ServiceState, name: string) => {
    const {backendServers} = cluster.fileSet.files['backend-servers.json'];
    await cluster.publish({
      'backend-servers.json': {
        backendServers: backendServers.map(server =>
          server.id === subject ? {...server, state} : server,
        ),
      },
    });
    cluster.history.record({type: 'mark', name, subject});
  };
  await publishState(ServiceState.OUT, Mark.SERVER_OUT);
  return () => publishState(ServiceState.IN, Mark.SERVER_IN);
}

/** Like {@link takeServerOut}, for the data centre of the probe's server. */
async function takeDataCentreOut(context: FaultContext) {
  const {cluster} = context;
  const {id: subject} = getEngine(context);
  const publishState = async (state: ServiceState, name: string) => {
    const {dataCentre} = cluster.fileSet.servers.get(subject)!;
    const {dataCentres} = cluster.fileSet.files['data-centres.json'];
    await cluster.publish({
      'data-centres.json': {
        dataCentres: dataCentres.map(item =>
          item.id === dataCentre ? {...item, state} : item,
        ),
      },
    });
    cluster.history.record({type: 'mark', name, subject});
  };
  await publishState(ServiceState.OUT, Mark.DATA_CENTRE_OUT);
  return () => publishState(ServiceState.IN, Mark.DATA_CENTRE_IN);
}

/**
 * Publishes two different file sets with the same revision, as two operators
 * do who publish concurrently.
 */
async function publishRivalSets({cluster}: FaultContext) {
  await cluster.publish({});
  const current = encodeBundle(cluster.fileSet);
  const {classes} = cluster.fileSet.files['classes.json'];
  const other = createFileSet({
    ...cluster.fileSet.files,
    'classes.json': {
      classes: classes.map(item => ({
        ...item,
        maximumOutputTokens: item.maximumOutputTokens + 1,
      })),
    },
  });
  await cluster.platform.call('setFileSet', encodeBundle(other));
  return async () => {
    await cluster.platform.call('setFileSet', current);
  };
}

async function publishInvalidSet({cluster}: FaultContext) {
  const valid = encodeBundle(cluster.fileSet);
  await cluster.platform.call('setFileSet', valid.slice(0, valid.length / 2));
  return async () => {
    await cluster.platform.call('setFileSet', valid);
  };
}

function createEngineFault(
  name: string,
  inject: (
    server: ClusterServer,
    cluster: TestCluster,
  ) => Promise<() => Promise<void>>,
): Fault {
  return {
    name,
    explainAbsence: explainChatOnly,
    durationMs: FAULT_DURATION_MS,
    inject: context => inject(getEngine(context), context.cluster),
  };
}

/** Creates a fault in which many callers of one class send until the load ends. */
function createRush(className: string): Fault {
  async function runCaller(context: FaultContext, index: number) {
    const {cluster, caller} = context;
    const hasEnded = () =>
      cluster.history.list('mark').some(mark => mark.name === Mark.LOAD_ENDED);
    for (let count = 0; !hasEnded(); count++) {
      const requestId = `rush-${className}-${index}-${count}`;
      await caller.chat({requestId, className, entry: index + count});
    }
  }
  return {
    name: `rush-${className}`,
    explainAbsence: explainNoAbsence,
    durationMs: RUSH_DURATION_MS,
    inject: async context => {
      for (let index = 0; index < RUSH_CALLERS; index++) {
        void runCaller(context, index);
      }
      return async () => {};
    },
  };
}

const otherFaults: Fault[] = [
  createRush('on-site'),
  createRush('overnight'),
  createEngineFault('silently-cold-engine', async ({id, process}, cluster) => {
    cluster.history.record({type: 'mark', name: Mark.COLD, subject: id});
    await process.call('setCompleted', 0);
    return async () => {};
  }),
  createEngineFault('lying-engine', async ({id, process}, {history}) => {
    history.record({type: 'mark', name: Mark.COLD, subject: id});
    await process.call('setReportedCompleted', FALSE_COMPLETED_REQUESTS);
    await process.call('restart', true);
    return async () => {
      await process.call('setReportedCompleted', null);
    };
  }),
  createEngineFault('cold-engine', async ({id, process}, {history}) => {
    history.record({type: 'mark', name: Mark.COLD, subject: id});
    await process.call('restart', true);
    return async () => {};
  }),
  createEngineFault('straggler-engine', async ({process}) => {
    await process.call('setSpeed', SLOW_TOKENS_PER_SECOND);
    return async () => {
      await process.call('setSpeed', NORMAL_TOKENS_PER_SECOND);
    };
  }),
  createEngineFault('crossed-engine', async ({proxy}) => {
    await proxy.setMode({isCrossed: true});
    return () => proxy.setMode({});
  }),
  {
    name: 'server-out',
    explainAbsence: explainChatOnly,
    durationMs: OUT_OF_SERVICE_DURATION_MS,
    inject: takeServerOut,
  },
  {
    name: 'data-centre-out',
    explainAbsence: explainChatOnly,
    durationMs: OUT_OF_SERVICE_DURATION_MS,
    inject: takeDataCentreOut,
  },
  {
    name: 'operator-race',
    explainAbsence: explainNoAbsence,
    durationMs: FAULT_DURATION_MS,
    inject: publishRivalSets,
  },
  {
    name: 'invalid-set',
    explainAbsence: explainNoAbsence,
    durationMs: FAULT_DURATION_MS,
    inject: publishInvalidSet,
  },
];

export const faults: readonly Fault[] = [
  ...createEntryFaults('entry', explainNoAbsence, ({cluster, step}) =>
    getProbeEntry(cluster, step),
  ),
  ...createEntryFaults('owner', explainChatOnly, findOwner),
  ...createEntryFaults('issuer', explainTicketOnly, ({cluster}) =>
    getProbeIssuer(cluster),
  ),
  ...createServerFaults('engine', explainChatOnly, getEngine),
  ...createServerFaults(
    'service',
    explainTicketOnly,
    ({cluster}) => cluster.service,
  ),
  ...createPlatformFaults(),
  ...otherFaults,
];
