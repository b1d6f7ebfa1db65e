/** Wires up how the cluster state is read and kept current: store, peers and keys. */
import type {Clock, Logger} from '@buckthornbeam/shared';
import {createClusterStateExchange} from './peers/cluster_state_exchange.js';
import type {ClusterStateExchange} from './peers/cluster_state_exchange.js';
import type {GossipTask} from './peers/gossip_task.js';
import type {StoreReader} from './ports.js';
import type {GatewaySettings} from './settings.js';
import type {ClusterState} from './state/cluster_state.js';
import {createKeyStaleness} from './state/key_staleness.js';
import type {KeyStaleness} from './state/key_staleness.js';
import {createPauseDetector} from './state/pause_detector.js';
import type {PauseDetector} from './state/pause_detector.js';
import {
  computeReadInterval,
  createReadSchedule,
} from './state/read_schedule.js';
import {createReaderRole} from './state/reader_role.js';
import {createStoreWatcher} from './state/store_watcher.js';
import type {StoreWatcher} from './state/store_watcher.js';

/** Options of {@link createGatewayState}. */
export interface GatewayStateOptions {
  settings: GatewaySettings;
  store: StoreReader;
  clusterState: ClusterState;
  isLeaving: () => boolean;
  /** Returns the exchange with peers, which is created after the state. */
  getGossip: () => GossipTask;
  /** Called after each read of the store. */
  onRead: (isSuccess: boolean) => void;
  clock: Clock;
  logger: Logger;
}

export interface GatewayState {
  pauses: PauseDetector;
  watcher: StoreWatcher;
  keyTrust: KeyStaleness;
  stateExchange: ClusterStateExchange;
}

export function createGatewayState({
  settings,
  store,
  clusterState,
  isLeaving,
  getGossip,
  onRead,
  clock,
  logger,
}: GatewayStateOptions): GatewayState {
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
    isLeaving,
    listAlive: now => getGossip().table.listAlive(now),
    countKnown: () => getGossip().table.listKnown().length,
    logger,
  });

  const watcher = createStoreWatcher({
    reader: store,
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
        peerHeardAt: getGossip().getLastHeardAt(),
        isFetching: stateExchange.isFetching(),
      });
    },
    onRead: isSuccess => {
      onRead(isSuccess);
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

  const stateExchange = createClusterStateExchange({
    clusterState,
    clock,
    logger,
    onFetchFailure: () => watcher.refresh(),
  });

  return {pauses, watcher, keyTrust, stateExchange};
}
