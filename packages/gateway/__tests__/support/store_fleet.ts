/**
 * A gossiping fleet before a store, on simulated time and without a network:
 * cluster states, read schedules and rankings are the gateway's own.
 */
import {createRandom} from '@buckthornbeam/shared';
import type {BackendServer} from '../../src/model.js';
import {
  MINIMUM_FETCH_INTERVAL_MS,
  isPeerAhead,
} from '../../src/peers/cluster_state_exchange.js';
import {createClusterState} from '../../src/state/cluster_state.js';
import type {ClusterState} from '../../src/state/cluster_state.js';
import {
  computeReadInterval,
  createReadSchedule,
} from '../../src/state/read_schedule.js';
import type {ReadSchedule} from '../../src/state/read_schedule.js';
import {createReaderRole} from '../../src/state/reader_role.js';
import type {ReaderRole} from '../../src/state/reader_role.js';
import {
  createConfiguration,
  createServerEntry,
  silentLogger,
} from './fixtures.js';
import {createGossipFleet} from './gossip_fleet.js';
import type {FleetInstance, GossipFleet} from './gossip_fleet.js';

export interface StoreFleetOptions {
  count: number;
  /** Time limits of a configuration and of a leaving server, in milliseconds. */
  applyMs?: number;
  seed?: number;
}

/** A fleet and its store. */
export interface StoreFleet {
  readonly fleet: GossipFleet;
  /** Calls to the store so far, also failed ones; a full read is two. */
  readonly calls: number;
  /** Full reads so far. */
  readonly fullReads: number;
  /** Chooses the instances whose reads fail. */
  setRefused(isRefused: (instance: FleetInstance) => boolean): void;
  /** Writes or replaces the entry of a server. */
  putServer(changes: Partial<BackendServer>): void;
  removeServer(id: string): void;
  putConfiguration(version: number): void;
  /** Drops the history: an instance that continues must read the whole state. */
  loseHistory(): void;
  getState(instance: FleetInstance): ClusterState;
  /** Finds the instance that reads the store for all. */
  findFirstReader(): FleetInstance;
  /** Starts an instance again, without a state. */
  restart(instance: FleetInstance): void;
  /** Ages of the states of the running instances, in milliseconds. */
  listAges(): number[];
}

interface Reader {
  state: ClusterState;
  schedule: ReadSchedule;
  role: ReaderRole;
  heardAt: number;
  lastFetchAt: number;
  /** End of a read or a fetch under way. */
  busy: {until: number; finish: () => void} | undefined;
  isFetching: boolean;
}

/** Time that a read of the store, or a fetch from a peer, takes. */
const CALL_MS = 10;
const SERVERS = 20;
const SEEDS = 3;
/** Instances that start in this time start with the whole system. */
const FIRST_START_MS = 1000;

export function createStoreFleet({
  count,
  applyMs = 4000,
  seed = 1,
}: StoreFleetOptions): StoreFleet {
  const random = createRandom(seed + 1000);
  const readers = new Map<FleetInstance, Reader>();
  const servers = new Map<string, BackendServer>();
  let version = 1;
  let revision = 1;
  let historyStart = 0;
  let calls = 0;
  let fullReads = 0;
  let isRefused: (instance: FleetInstance) => boolean = () => false;
  for (let index = 0; index < SERVERS; index++) {
    servers.set(`s${index}`, createServerEntry({id: `s${index}`}));
  }

  function createReader(instance: FleetInstance, now: number): Reader {
    const index = Number(instance.id.split('-')[1]);
    return {
      state: createClusterState({
        logger: silentLogger,
        decodeConfiguration: text =>
          createConfiguration({version: Number(text)}),
      }),
      schedule: createReadSchedule({
        intervalMs: computeReadInterval(applyMs),
        seedPlace: index < SEEDS ? index : undefined,
        startedAt: now,
        isFirstStart: now < FIRST_START_MS,
        random: () => random.nextFloat(),
      }),
      role: createReaderRole({
        self: {instanceId: instance.id, dataCentre: instance.dataCentre},
        isLeaving: () => instance.isLeaving,
        listAlive: time => instance.node.table.listAlive(time),
        countKnown: () => instance.node.table.listKnown().length,
        logger: silentLogger,
      }),
      heardAt: -Infinity,
      lastFetchAt: -Infinity,
      busy: undefined,
      isFetching: false,
    };
  }

  function getReader(instance: FleetInstance, now: number): Reader {
    let reader = readers.get(instance);
    if (!reader) {
      reader = createReader(instance, now);
      readers.set(instance, reader);
    }
    return reader;
  }

  /** Reads the store; the answer has the state at the time of its end. */
  function finishRead(instance: FleetInstance, reader: Reader): void {
    const {state, schedule} = reader;
    const now = fleet.now;
    if (instance.isCut || isRefused(instance)) {
      state.recordStoreFailure(now);
      schedule.recordFailure(now);
      return;
    }
    const needsAll =
      !state.getConfiguration() || state.getRevision() < historyStart;
    if (needsAll) {
      calls += 1;
      fullReads += 1;
    }
    state.applyStoreSnapshot(
      {
        revision,
        isFull: true,
        changes: [
          {
            type: 'configuration',
            configuration: createConfiguration({version}),
            text: String(version),
          },
          ...[...servers.values()].map(
            server => ({type: 'server', server}) as const,
          ),
        ],
      },
      now,
    );
    schedule.recordSuccess();
  }

  function startCall(reader: Reader, now: number, finish: () => void): void {
    reader.busy = {until: now + CALL_MS, finish};
  }

  function runReader(instance: FleetInstance, now: number): void {
    const reader = getReader(instance, now);
    const {busy, state} = reader;
    if (busy) {
      if (now >= busy.until) {
        reader.busy = undefined;
        reader.isFetching = false;
        busy.finish();
      }
      return;
    }
    const delayMs = reader.schedule.computeDelay({
      now,
      hasState: state.getConfiguration() !== undefined,
      ageMs: state.computeAge(now),
      ...reader.role.findPlaces(now),
      peerHeardAt: reader.heardAt,
      isFetching: reader.isFetching,
    });
    if (delayMs <= 0) {
      calls += 1;
      startCall(reader, now, () => finishRead(instance, reader));
    }
  }

  const fleet = createGossipFleet({
    count,
    seed,
    describeState: (instance, now) => {
      const {state} = getReader(instance, now);
      return {
        version: state.getConfiguration()?.version ?? 0,
        revision: state.getRevision(),
        digest: state.computeDigest(),
        confirmedAgeMs: state.computeAge(now),
      };
    },
    onMessage: (receiver, {message, hopDigest}, now) => {
      const reader = getReader(receiver, now);
      reader.heardAt = now;
      reader.state.confirmByPeer(message, now);
      const canFetch =
        !reader.busy &&
        now - reader.lastFetchAt >= MINIMUM_FETCH_INTERVAL_MS &&
        hopDigest === message.digest;
      const peer = fleet.instances.find(
        instance => instance.id === message.sender.instanceId,
      )!;
      if (canFetch && isPeerAhead(message, reader.state)) {
        reader.lastFetchAt = now;
        reader.isFetching = true;
        startCall(reader, now, () => {
          const snapshot =
            peer.isRunning && !peer.isCut && !receiver.isCut
              ? getReader(peer, fleet.now).state.buildSnapshot(
                  reader.state.describeRequest(),
                  fleet.now,
                )
              : undefined;
          if (snapshot) {
            reader.state.applyPeerSnapshot(snapshot, fleet.now);
          }
        });
      }
    },
    onTick: runReader,
  });

  return {
    fleet,
    get calls() {
      return calls;
    },
    get fullReads() {
      return fullReads;
    },
    setRefused: next => {
      isRefused = next;
    },
    putServer: changes => {
      revision += 1;
      const server = createServerEntry(changes);
      servers.set(server.id, server);
    },
    removeServer: id => {
      revision += 1;
      servers.delete(id);
    },
    putConfiguration: next => {
      revision += 1;
      version = next;
    },
    loseHistory: () => {
      revision += 1;
      historyStart = revision;
    },
    getState: instance => getReader(instance, fleet.now).state,
    findFirstReader: () =>
      fleet.instances.find(
        instance =>
          getReader(instance, fleet.now).role.findPlaces(fleet.now).place === 0,
      )!,
    restart: instance => {
      readers.delete(instance);
      fleet.restart(instance);
    },
    listAges: () =>
      fleet.instances
        .filter(instance => instance.isRunning)
        .map(instance =>
          getReader(instance, fleet.now).state.computeAge(fleet.now),
        ),
  };
}
