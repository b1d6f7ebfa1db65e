/** Wires up a router instance that forwards requests directly to backend servers. */
import {
  StatementKind,
  createPrefixLocations,
  createRoomShortages,
} from '@buckthornbeam/decisions';
import {
  createLogger,
  createSystemClock,
  pickSample,
  waitFor,
} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import {
  checkAccess,
  checkHead,
  computeAuthoritativeAge,
} from './http/access.js';
import type {AccessOptions, GrantedAccess} from './http/access.js';
import {createCallerServer} from './http/caller_server.js';
import type {CallerServer} from './http/caller_server.js';
import {createQuarantineHandler} from './http/quarantine_handler.js';
import {createStatusHandlers} from './http/status_handlers.js';
import {createStatusServers} from './http/status_server.js';
import {createLogWriter} from './log_writer.js';
import {createMachineMemory} from './memory/machine_memory.js';
import {computeConnectionLimits} from './memory/machine_limits.js';
import {createGatewayMetrics} from './metrics.js';
import type {BackendServer, RequestMetadata} from './model.js';
import {createGossipTask} from './peers/gossip_task.js';
import {createClusterStateExchange} from './peers/cluster_state_exchange.js';
import type {CallerDialect, ServerDialect, StoreReader} from './ports.js';
import {createAdmission} from './relay/admission.js';
import {AdmissionOrder} from './relay/admission_reason.js';
import {createQuarantineGuard} from './relay/quarantine_guard.js';
import {createServerConnections} from './relay/server_connections.js';
import {createServerProbe} from './relay/server_probe.js';
import type {GatewaySettings} from './settings.js';
import {createFaultTracker} from './state/fault_tracker.js';
import {createCustomerAdmission} from './state/customer_admission.js';
import {createKeyStaleness} from './state/key_staleness.js';
import {createClusterState} from './state/cluster_state.js';
import {createPauseDetector} from './state/pause_detector.js';
import {createRepeatBudgets} from './state/repeat_budgets.js';
import {createServerActivity} from './state/server_activity.js';
import {createServerLoads} from './state/server_loads.js';
import {createServerSelection} from './state/server_selection.js';
import {
  computeReadInterval,
  createReadSchedule,
} from './state/read_schedule.js';
import {createReaderRole} from './state/reader_role.js';
import {createSpeedTracker} from './state/speed_tracker.js';
import {createStatementTracker} from './state/statement_tracker.js';
import {createStoreWatcher} from './state/store_watcher.js';
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
/** TTL of resolved addresses; short, so that callers pick up changes quickly. */
const ADDRESS_TTL_S = 2;
/** Callers use at most this many addresses. */
const MAXIMUM_ADDRESSES = 64;
/** Some turns of the event loop, in which the ends of connections are read. */
const DISCONNECT_READ_MS = 5;

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

  const pauses = createPauseDetector({
    clock,
    logger,
    onPause: () => {
      if (clusterState.getConfiguration() && !keyTrust.isFresh()) {
        watcher.refresh();
      }
    },
  });

  const seedIndex = settings.seeds.indexOf(settings.listen.peers);
  const schedule = createReadSchedule({
    intervalMs: computeReadInterval(
      Math.min(settings.store.applyMs, settings.store.drainMs),
    ),
    seedPlace: seedIndex < 0 ? undefined : seedIndex,
    startedAt: clock.now(),
    isFirstStart: settings.isFirstStart,
    random: Math.random,
  });

  const readerRole = createReaderRole({
    self: {
      instanceId: settings.instanceId,
      dataCentre: settings.dataCentre,
    },
    isLeaving: () => isStopping,
    listAlive: now => gossip.table.listAlive(now),
    countKnown: () => gossip.table.listKnown().length,
    logger,
  });

  const watcher = createStoreWatcher({
    reader: options.store,
    clusterState,
    clock,
    logger,
    watchMs: settings.store.watchMs,
    computeDelay: () => {
      const now = clock.now();
      return schedule.computeDelay({
        now,
        hasState: clusterState.getConfiguration() !== undefined,
        ageMs: clusterState.computeAge(now),
        ...readerRole.findPlaces(now),
        peerHeardAt: gossip.getLastHeardAt(),
        isFetching: stateExchange.isFetching(),
      });
    },
    onRead: isSuccess => {
      metrics.countStoreRead(isSuccess);
      if (isSuccess) {
        schedule.recordSuccess();
      } else {
        schedule.recordFailure(clock.now());
      }
    },
  });

  const keyTrust = createKeyStaleness({
    clusterState,
    clock,
    logger,
    failClosed: settings.keys.failClosed,
    revokeMs: settings.keys.revokeMs,
    onSuspension: () => watcher.refresh(),
  });

  function isReady(): boolean {
    return (
      !isStopping &&
      clusterState.getConfiguration() !== undefined &&
      keyTrust.isFresh()
    );
  }

  const stateExchange = createClusterStateExchange({
    clusterState,
    clock,
    logger,
    onFetchFailure: () => watcher.refresh(),
  });

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
  const {maximumConnections, maximumRequests} = computeConnectionLimits(
    settings.machine,
  );

  const connections = createServerConnections({
    onOpen: () => metrics.countConnection(),
  });

  const statements = createStatementTracker({
    logger,
    onChange: change => metrics.countStatement(change),
  });

  const selection = createServerSelection({
    selfId: settings.instanceId,
    dataCentre: settings.dataCentre,
    regions: settings.regions,
    clusterState,
    loads,
    activity,
    locations,
    prefillTokensPerMs: settings.engines.readingTokensPerMs,
    shortPromptRatio: settings.engines.shortPromptPart,
    spreading: settings.engines.spreading,
    listInstances,
    coldOverage: settings.cold.overage,
    coldSlack: settings.cold.slack,
    statements,
    faults,
    speeds,
  });

  const admission =
    settings.admission.order === AdmissionOrder.URGENCY
      ? createAdmission({
          clusterState,
          shortages,
          prefillTokensPerMs: settings.engines.readingTokensPerMs,
          clock,
          onWaitEnd: ({reason, selected}) =>
            metrics.countWait(reason, selected !== undefined),
        })
      : undefined;

  const repeatBudgets = createRepeatBudgets({
    fleet: {
      ratio: settings.repeats.ratio,
      extra: settings.repeats.extra,
      windowMs: settings.repeats.windowS * 1000,
    },
    countInstances: now => listInstances(now).length,
  });

  const authoritativeAgeMs = computeAuthoritativeAge(settings.store.applyMs);

  function getAccessOptions(): AccessOptions {
    return {
      clusterState,
      maximumKeyAgeMs: keyTrust.maximumAgeMs,
      authoritativeAgeMs,
      now: clock.now(),
    };
  }

  async function grantAccess(
    metadata: RequestMetadata,
  ): Promise<GrantedAccess> {
    pauses.checkPause();
    keyTrust.checkSuspension();
    if (pauses.computeWaitedMs() > 0) {
      // The end of the caller's connection may have arrived meanwhile as well.
      await waitFor(DISCONNECT_READ_MS);
    }
    await keyTrust.waitForConfirmation(metadata.deadlineMs);
    return checkAccess(metadata, getAccessOptions());
  }

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
    grantAccess,
    checkHead: metadata => checkHead(metadata, getAccessOptions()),
    memory,
    maximumConnections,
    maximumRelayedRequests: maximumRequests,
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

  /** Lists ready instances, and this one if it is ready or the only candidate. */
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
    clusterState,
    metrics,
    clock,
    isReady,
    listAddresses,
    addressTtlS: Math.min(ADDRESS_TTL_S, settings.addresses.maximumTtlS),
  });

  const statusServers = createStatusServers([
    [settings.listen.readiness, handlers.answerReadiness],
    [settings.listen.addresses, handlers.answerAddresses],
    [settings.listen.peers, handlers.answerClusterState],
    ...(settings.listen.metrics
      ? [
          [settings.listen.metrics, handlers.answerMetrics] as const,
          [
            settings.listen.metrics,
            createQuarantineHandler({quarantine, clock}),
          ] as const,
        ]
      : []),
  ]);

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
