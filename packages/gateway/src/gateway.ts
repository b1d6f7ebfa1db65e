/** A gateway: one instance of the direct data path, with all its tasks. */
import {createPrefixLocations} from '@buckthornbeam/decisions';
import {
  createLogger,
  createSystemClock,
  pickSample,
  waitFor,
} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import {checkAccess} from './front/access.js';
import type {GrantedAccess} from './front/access.js';
import {createCallerFront} from './front/caller_front.js';
import type {CallerFront} from './front/caller_front.js';
import {createStatusHandlers} from './front/status_handlers.js';
import {createStatusServers} from './front/status_server.js';
import {createLineWriter} from './logs.js';
import {createGatewayMetrics} from './metrics.js';
import type {RequestFacts} from './model.js';
import {createGossipTask} from './peers/gossip_task.js';
import {createKnowledgeExchange} from './peers/knowledge_exchange.js';
import type {CallerDialect, ServerDialect, StoreReader} from './ports.js';
import {createServerConnections} from './relay/server_connections.js';
import type {GatewaySettings} from './settings.js';
import {createKeyTrust} from './state/key_staleness.js';
import {createKnowledge} from './state/cluster_state.js';
import {createRepeatBudgets} from './state/repeat_budgets.js';
import {createServerActivity} from './state/server_activity.js';
import {createServerLoads} from './state/server_loads.js';
import {createServerSelection} from './state/server_selection.js';
import {computeReadPause, isStoreReader} from './state/store_readers.js';
import type {StoreReaderOptions} from './state/store_readers.js';
import {createStoreWatcher} from './state/store_watcher.js';

/** Options of {@link createGateway}. */
export interface GatewayOptions {
  settings: GatewaySettings;
  store: StoreReader;
  callers: CallerDialect;
  servers: ServerDialect;
  clock?: Clock;
  logger?: Logger;
}

/** A gateway. */
export interface Gateway {
  start(): Promise<void>;
  /** Planned stop: finishes what runs, within the grace of the settings. */
  stop(): Promise<void>;
  /** Takes changed settings as far as they can change while it runs. */
  reload(settings: GatewaySettings): void;
}

/** Interval of gossip: reports of load are of use for about two rounds, in milliseconds. */
const GOSSIP_MS = 250;
/** Interval of the look after forgotten servers and suspensions, in milliseconds. */
const UPKEEP_MS = 250;
/** An unknown key or route is unknown only by knowledge younger than this, in milliseconds. */
const CERTAIN_AGE_MS = 1800;
/** A follower reads the store itself once nobody has confirmed its knowledge for so long, in milliseconds. */
const FOLLOWER_AGE_MS = 1500;
/** Callers ask again after this time, so that they soon learn of changes, in seconds. */
const ADDRESS_TTL_S = 2;
/** Callers use no more addresses than this. */
const MAXIMUM_ADDRESSES = 64;
/** After a stop begins, callers keep coming until their addresses expire, in milliseconds. */
const ACCEPT_AFTER_STOP_MS = 3000;
/** Idle connections are closed once callers may know better addresses, in milliseconds. */
const CLOSE_IDLE_AFTER_MS = 1500;
/** Time for the last bytes before the kill, in milliseconds. */
const STOP_MARGIN_MS = 400;
const STOP_LOOK_MS = 50;

/** Creates a gateway that has not started. */
export function createGateway(options: GatewayOptions): Gateway {
  const {settings, callers} = options;
  const clock = options.clock ?? createSystemClock();
  const writer = createLineWriter();
  const logger =
    options.logger ??
    createLogger({
      level: settings.logLevel,
      context: {instance: settings.instanceId},
      write: line => writer.write(line),
    });
  const incarnation = `${Date.now().toString(36)}-${Math.random().toString(36).slice(2, 8)}`;
  const knowledge = createKnowledge({
    logger,
    decodeConfiguration: text => options.store.decodeConfiguration(text),
  });
  const loads = createServerLoads();
  const activity = createServerActivity();
  const locations = createPrefixLocations();
  let isLeaving = false;
  let upkeep: NodeJS.Timeout | undefined;

  const watcher = createStoreWatcher({
    reader: options.store,
    knowledge,
    clock,
    logger,
    watchMs: settings.store.watchMs,
    computePauseMs: () => computeReadPause(describeReaders(), settings.store),
    mustHurry: () => knowledge.computeAge(clock.now()) > FOLLOWER_AGE_MS,
  });

  function describeReaders(): StoreReaderOptions {
    const others = gossip.table
      .listAlive(clock.now())
      .filter(({record}) => !record.isLeaving)
      .map(({record}) => record.instanceId);
    return {
      selfId: settings.instanceId,
      instanceIds: [settings.instanceId, ...others],
      readers: settings.store.readers,
    };
  }

  const keyTrust = createKeyTrust({
    knowledge,
    clock,
    logger,
    failClosed: settings.keys.failClosed,
    revokeMs: settings.keys.revokeMs,
    onDistrust: () => watcher.refresh(),
  });

  function isReady(): boolean {
    return (
      !isLeaving &&
      knowledge.getConfiguration() !== undefined &&
      keyTrust.isFresh()
    );
  }

  const exchange = createKnowledgeExchange({
    knowledge,
    clock,
    logger,
    isReading: () => isStoreReader(describeReaders()) && watcher.isConnected(),
    onBehind: () => watcher.refresh(),
  });

  const gossip = createGossipTask({
    describeSelf: () => ({
      instanceId: settings.instanceId,
      incarnation,
      gossipAddress: settings.listen.peers,
      callerAddress: settings.listen.callers,
      dataCentre: settings.dataCentre,
      isReady: isReady(),
      isLeaving,
    }),
    seedAddresses: settings.seeds,
    knowledge,
    loads,
    locations,
    clock,
    logger,
    intervalMs: GOSSIP_MS,
    onPeerAhead: (address, message) => exchange.considerPeer(address, message),
  });

  function listInstances(now: number): string[] {
    return gossip.table.listRecentIds(now);
  }

  const metrics = createGatewayMetrics({
    countOpenRequests: () => front.countOpen(),
    computeKnowledgeAgeMs: () => knowledge.computeAge(clock.now()),
    getConfigurationVersion: () => knowledge.getConfiguration()?.version ?? 0,
    countPeers: () => gossip.table.listAlive(clock.now()).length,
  });

  const connections = createServerConnections({
    onOpen: () => metrics.countConnection(),
  });

  const selection = createServerSelection({
    selfId: settings.instanceId,
    dataCentre: settings.dataCentre,
    regions: settings.regions,
    knowledge,
    loads,
    activity,
    locations,
    readingTokensPerMs: settings.engines.readingTokensPerMs,
    shortPromptPart: settings.engines.shortPromptPart,
    listInstances,
    coldOverage: settings.cold.overage,
    coldSlack: settings.cold.slack,
  });

  const budgets = createRepeatBudgets({
    fleet: {
      ratio: settings.repeats.ratio,
      extra: settings.repeats.extra,
      windowMs: settings.repeats.windowS * 1000,
    },
    countInstances: now => listInstances(now).length,
  });

  async function grantAccess(facts: RequestFacts): Promise<GrantedAccess> {
    keyTrust.checkSuspension();
    await keyTrust.waitForConfirmation();
    return checkAccess(facts, {
      knowledge,
      maximumKeyAgeMs: keyTrust.maximumAgeMs,
      certainAgeMs: CERTAIN_AGE_MS,
      now: clock.now(),
    });
  }

  const front: CallerFront = createCallerFront({
    address: settings.listen.callers,
    dialect: callers,
    relay: {
      clock,
      dialect: options.servers,
      connections,
      selection,
      activity,
      budgets,
      maximumAnswerBytes: settings.limits.maximumHeldBytes,
      random: Math.random,
    },
    grantAccess,
    getLimits: () => knowledge.getConfiguration()?.limits,
    describeKnowledge: () => ({
      version: knowledge.getConfiguration()?.version,
      knowledgeAgeMs: Math.round(knowledge.computeAge(clock.now())),
    }),
    maximumOpenRequests: settings.limits.maximumOpenRequests,
    maximumHeldBytes: settings.limits.maximumHeldBytes,
    clock,
    logger,
    metrics,
  });

  /** Addresses of ready instances; the own one where nobody else is known. */
  function listAddresses(): string[] {
    const addresses = gossip.table
      .listAlive(clock.now())
      .filter(({record}) => record.isReady && !record.isLeaving)
      .map(({record}) => record.callerAddress);
    if (isReady() || addresses.length === 0) {
      addresses.push(settings.listen.callers);
    }
    return pickSample(addresses, MAXIMUM_ADDRESSES);
  }

  const handlers = createStatusHandlers({
    dialect: callers,
    knowledge,
    metrics,
    clock,
    isReady,
    listAddresses,
    addressTtlS: Math.min(ADDRESS_TTL_S, settings.addresses.maximumTtlS),
  });

  const statusServers = createStatusServers([
    [settings.listen.readiness, handlers.answerReadiness],
    [settings.listen.addresses, handlers.answerAddresses],
    [settings.listen.peers, handlers.answerKnowledge],
    ...(settings.listen.metrics
      ? [[settings.listen.metrics, handlers.answerMetrics] as const]
      : []),
  ]);

  function runUpkeep(): void {
    keyTrust.checkSuspension();
    selection.prune();
  }

  async function finishRequests(untilMs: number): Promise<void> {
    while (front.countOpen() > 0 && clock.now() < untilMs) {
      await waitFor(STOP_LOOK_MS);
    }
  }

  async function stop(): Promise<void> {
    const startedAt = clock.now();
    const endsAt = startedAt + settings.stop.graceMs - STOP_MARGIN_MS;
    isLeaving = true;
    front.beginDrain();
    gossip.announce();
    logger.info('stopping', {open: front.countOpen()});
    await waitFor(CLOSE_IDLE_AFTER_MS);
    front.closeIdle();
    await waitFor(ACCEPT_AFTER_STOP_MS - CLOSE_IDLE_AFTER_MS);
    front.refuseNew();
    front.closeIdle();
    await finishRequests(endsAt);
    front.stop();
    watcher.stop();
    clearInterval(upkeep);
    gossip.stop();
    connections.close();
    statusServers.stop();
    logger.info('stopped', {
      open: front.countOpen(),
      tookMs: Math.round(clock.now() - startedAt),
    });
    await writer.flush();
  }

  return {
    start: async () => {
      logger.info('starting', {incarnation, dataCentre: settings.dataCentre});
      watcher.start();
      await Promise.all([gossip.start(), front.start(), statusServers.start()]);
      upkeep = setInterval(runUpkeep, UPKEEP_MS);
      logger.info('started', {callers: settings.listen.callers});
    },
    stop,
    reload: changed => {
      gossip.table.updateSeeds(changed.seeds);
      logger.info('settings_reloaded', {seeds: changed.seeds.length});
    },
  };
}
