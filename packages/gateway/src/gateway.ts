/** Wires up a router instance that forwards requests directly to backend servers. */
import {
  StatementKind,
  createPrefixLocations,
  createRoomShortages,
} from '@buckthornbeam/decisions';
import {createLogger, createSystemClock} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import {createCallerServer} from './http/caller_server.js';
import type {CallerServer} from './http/caller_server.js';
import {createConnectionShare} from './http/connection_share.js';
import {createRequestAccess} from './http/request_access.js';
import {createGatewayRouting} from './gateway_routing.js';
import {createGatewayState} from './gateway_state.js';
import {createGatewayStatus} from './gateway_status.js';
import {createLogWriter} from './log_writer.js';
import {createMachineMemory} from './memory/machine_memory.js';
import {computeConnectionLimits} from './memory/machine_limits.js';
import {createGatewayMetrics} from './metrics.js';
import type {BackendServer} from './model.js';
import {createGossipTask} from './peers/gossip_task.js';
import type {CallerDialect, ServerDialect, StoreReader} from './ports.js';
import {createQuarantineGuard} from './relay/quarantine_guard.js';
import {createServerProbe} from './relay/server_probe.js';
import type {GatewaySettings} from './settings.js';
import {createFaultTracker} from './state/fault_tracker.js';
import {createCustomerAdmission} from './state/customer_admission.js';
import {createClusterState} from './state/cluster_state.js';
import {createServerActivity} from './state/server_activity.js';
import {createServerLoads} from './state/server_loads.js';
import {createSpeedTracker} from './state/speed_tracker.js';
import {createPlannedStop} from './stop/planned_stop.js';

export interface GatewayOptions {
  settings: GatewaySettings;
  store: StoreReader;
  callers: CallerDialect;
  servers: ServerDialect;
  clock?: Clock;
  logger?: Logger;
}

export interface Gateway {
  /**
   * Opens the listeners, then makes the instance known to its peers. Closes
   * everything again if a listener cannot be opened.
   * @throws Error of the listener, such as `EADDRINUSE`
   */
  start(): Promise<void>;
  /**
   * Drains open requests within `settings.stop.graceMs`, then closes everything. Further
   * calls return the promise of the first. Resolves to whether all log lines are written.
   */
  stop(): Promise<boolean>;
  /** Applies the settings that can change at run time; currently the seed addresses. */
  reload(settings: GatewaySettings): void;
}

/** Interval of suspension checks and of pruning the data of removed servers. */
const MAINTENANCE_INTERVAL_MS = 250;

/** Creates a gateway; it does not listen before `start` is called. */
export function createGateway(options: GatewayOptions): Gateway {
  const {settings, callers} = options;
  const clock = options.clock ?? createSystemClock();
  const logWriter = createLogWriter();
  const logger =
    options.logger ??
    createLogger({
      level: settings.logLevel,
      context: {instance: settings.instanceId},
      write: line => logWriter.write(line),
    });
  const incarnation = `${Date.now().toString(36)}-${Math.random().toString(36).slice(2, 8)}`;
  const clusterState = createClusterState({
    logger,
    decodeConfiguration: text => options.store.decodeConfiguration(text),
  });
  const loads = createServerLoads({
    onChange: () => gossip.reportChange(),
    onLoadError: requests => metrics.observeLoadError(requests),
  });
  const activity = createServerActivity();
  const faults = settings.failures.shared
    ? createFaultTracker({logger})
    : undefined;
  const speeds = settings.engines.learnSpeeds
    ? createSpeedTracker({listServices: listModelServers})
    : undefined;
  const locations = createPrefixLocations();
  const shortages = createRoomShortages();
  let isStopping = false;
  let isClosed = false;
  let stopped: Promise<boolean> | undefined;
  let maintenanceTimer: NodeJS.Timeout | undefined;

  const {pauses, watcher, keyTrust, stateExchange} = createGatewayState({
    settings,
    store: options.store,
    clusterState,
    isLeaving: () => isStopping,
    getGossip: () => gossip,
    onRead: isSuccess => metrics.countStoreRead(isSuccess),
    clock,
    logger,
  });

  function isReady(): boolean {
    return (
      !isStopping &&
      clusterState.getConfiguration() !== undefined &&
      keyTrust.isFresh()
    );
  }

  const quarantineGuard = createQuarantineGuard({
    selfId: settings.instanceId,
    listInstances,
    probe: createServerProbe(),
    clock,
    logger,
  });
  const {quarantine} = quarantineGuard;

  const customers =
    settings.admission.customerShares === 'on'
      ? createCustomerAdmission({
          getConfiguration: () => clusterState.getConfiguration(),
          // Shortages of other instances are heard of with admission by urgency.
          isScarce: (serviceName, now, urgencyPosition) =>
            (shortages.findMostUrgent(serviceName, now) ?? Infinity) <=
            urgencyPosition,
        })
      : undefined;

  const gossip = createGossipTask({
    describeSelf: () => ({
      instanceId: settings.instanceId,
      incarnation,
      gossipAddress: settings.listen.peers,
      callerAddress: settings.listen.callers,
      dataCentre: settings.dataCentre,
      isReady: isReady(),
      isLeaving: isStopping,
    }),
    seedAddresses: settings.seeds,
    clusterState,
    loads,
    locations,
    quarantine,
    faults: faults?.exchange,
    speeds: speeds?.exchange,
    limits: {
      listNews: (maximumHops, now) =>
        statements.listLimitNews(maximumHops, now),
      acceptNews: (news, now) => {
        if (statements.acceptLimitNews(news, listServers(), now)) {
          selection.updateShares(now);
        }
      },
    },
    ...(customers ? {customers: customers.sums} : {}),
    shortages,
    pauses,
    clock,
    logger,
    onMessage: (address, message) =>
      stateExchange.fetchIfBehind(address, message),
  });

  function listServers(): BackendServer[] {
    return [...clusterState.listServerIds()].map(
      id => clusterState.findServer(id)!.server,
    );
  }

  /** Lists the ids of the model servers, by service. */
  function listModelServers(): string[][] {
    const services = clusterState.getConfiguration()?.services ?? new Map();
    return [...services.values()]
      .filter(service => service.engine)
      .map(service =>
        clusterState.listServers(service.name).map(({server}) => server.id),
      );
  }

  function listInstances(now: number): readonly string[] {
    return gossip.table.listRecentIds(now);
  }

  const metrics = createGatewayMetrics({
    countOpenRequests: () => callerServer.countOpen(),
    computeClusterStateAgeMs: () => clusterState.computeAge(clock.now()),
    getConfigurationVersion: () =>
      clusterState.getConfiguration()?.version ?? 0,
    countPeers: () => gossip.table.listAlive(clock.now()).length,
    countQuarantined: () => quarantine.list(clock.now()).length,
    countWaitingRequests: () => admission?.countWaiting() ?? 0,
    countLimitedServers: () => statements.count(StatementKind.LIMIT),
    countFaultyServers: () => faults?.countFaulty() ?? 0,
    countPausedServers: () => statements.count(StatementKind.PAUSE),
    countScarceRanks: () => customers?.countScarceRanks(clock.now()) ?? 0,
    getLongestPauseMs: () => pauses.getLongestPauseMs(),
    getHeldBytes: () => memory.heldBytes,
    countCallerConnections: () => callerServer.countConnections(),
    computeStopMs: () => plannedStop.computeDuration(),
  });

  const {memory, reports} = createMachineMemory({
    machine: settings.machine,
    clock,
    logger,
    onRefusal: reason => metrics.countLimit(reason),
  });
  const connectionLimits = computeConnectionLimits(settings.machine);
  const share = createConnectionShare({
    ...connectionLimits,
    countCallers: () => callerServer.countConnections(),
    countStatus: () => statusServers.countConnections(),
    closeCallersBeyond: count => callerServer.closeConnectionsBeyond(count),
  });

  const {connections, statements, selection, admission, repeatBudgets} =
    createGatewayRouting({
      settings,
      clusterState,
      loads,
      activity,
      locations,
      shortages,
      faults,
      speeds,
      listInstances,
      metrics,
      clock,
      logger,
    });

  const access = createRequestAccess({
    clusterState,
    keyTrust,
    pauses,
    applyMs: settings.store.applyMs,
    clock,
  });

  const callerServer: CallerServer = createCallerServer({
    address: settings.listen.callers,
    dialect: callers,
    relay: {
      clock,
      dialect: options.servers,
      connections,
      selection,
      activity,
      budgets: repeatBudgets,
      customers,
      maximumAnswerBytes: settings.limits.maximumHeldBytes,
      quarantine: quarantineGuard,
      random: Math.random,
      ...(admission ? {admission} : {}),
    },
    grantAccess: access.grantAccess,
    checkHead: access.checkHead,
    memory,
    getMaximumConnections: () => share.computeCallerMaximum(),
    maximumRelayedRequests: connectionLimits.maximumRequests,
    reports,
    getLimits: () => clusterState.getConfiguration()?.limits,
    describeClusterState: () => ({
      version: clusterState.getConfiguration()?.version,
      knowledgeAgeMs: Math.round(clusterState.computeAge(clock.now())),
    }),
    maximumOpenRequests: settings.limits.maximumOpenRequests,
    maximumHeldBytes: settings.limits.maximumHeldBytes,
    clock,
    logger,
    metrics,
  });

  const statusServers = createGatewayStatus({
    settings,
    dialect: callers,
    clusterState,
    metrics,
    quarantine,
    listAlive: now => gossip.table.listAlive(now),
    isReady,
    limits: connectionLimits,
    memory,
    reports,
    makeRoom: () => share.makeRoom(),
    clock,
  });

  function runMaintenance(): void {
    keyTrust.checkSuspension();
    selection.prune(clock.now());
    quarantine.expire(clock.now());
  }

  function closeAll(): void {
    if (isClosed) {
      return;
    }
    isClosed = true;
    callerServer.stop();
    watcher.stop();
    clearInterval(maintenanceTimer);
    pauses.stop();
    gossip.stop();
    connections.close();
    statusServers.stop();
  }

  async function start(): Promise<void> {
    logger.info('starting', {incarnation, dataCentre: settings.dataCentre});
    pauses.start();
    watcher.start();
    try {
      await Promise.all([callerServer.start(), statusServers.start()]);
      // Peers send callers here as soon as they know this instance.
      await gossip.start();
    } catch (error) {
      closeAll();
      await logWriter.flush();
      throw error;
    }
    maintenanceTimer = setInterval(runMaintenance, MAINTENANCE_INTERVAL_MS);
    logger.info('started', {callers: settings.listen.callers});
  }

  const plannedStop = createPlannedStop({
    graceMs: settings.stop.graceMs,
    callerServer,
    pauses,
    announce: () => {
      isStopping = true;
      gossip.announce();
    },
    closeAll,
    logWriter,
    clock,
    logger,
  });

  return {
    start,
    stop: () => {
      // A start that failed has closed everything.
      stopped ??= isClosed ? Promise.resolve(true) : plannedStop.run();
      return stopped;
    },
    reload: changed => {
      gossip.table.updateSeeds(changed.seeds);
      logger.info('settings_reloaded', {seeds: changed.seeds.length});
    },
  };
}
