/**
 * Cluster state that an instance caches from the store: the configuration, the
 * backend servers and the evacuated data centres, with the time at which the
 * store last confirmed them.
 */
import {hashToUint32} from '@buckthornbeam/shared';
import type {Logger} from '@buckthornbeam/shared';
import type {BackendServer, ServiceConfiguration} from '../model.js';
import type {StoreChange, StoreSnapshot} from '../ports.js';

/** Cluster state that an instance sends to a peer, as JSON. */
export interface ClusterStateSnapshot {
  revision: number;
  /** Time since the store last confirmed the state, in milliseconds. */
  confirmedAgeMs: number;
  version: number;
  /** Empty if the requester already has this version. */
  configurationText: string;
  evacuated: readonly string[];
  servers: readonly BackendServer[];
}

/** Options of {@link createClusterState}. */
export interface ClusterStateOptions {
  logger: Logger;
  decodeConfiguration: (text: string) => ServiceConfiguration;
}

/** An entry of a backend server with local deadlines. */
export interface TrackedServer {
  server: BackendServer;
  /** Local time until which the server counts as cold, in milliseconds. */
  coldUntil: number;
  /**
   * Local time at which a missing entry is removed unless it reappears, in
   * milliseconds; undefined while the entry is present.
   */
  removalDueAt: number | undefined;
}

/** Cached cluster state; `now` is the local monotonic time in milliseconds. */
export interface ClusterState {
  /** Applies an answer of the store that was received at `now`. */
  applyStoreSnapshot(snapshot: StoreSnapshot, now: number): void;
  /** Applies the state of a peer unless it has a lower revision than this instance. */
  applyPeerSnapshot(snapshot: ClusterStateSnapshot, now: number): void;
  /**
   * Records that the store confirmed this configuration version to a peer
   * `ageMs` ago. Ignored if the own version differs.
   */
  confirmByPeer(version: number, ageMs: number, now: number): void;
  /** Makes the age infinite until the next confirmation, after a suspension. */
  clearConfirmation(): void;
  /** Records a failed store read; entries missing soon after it get a grace period. */
  recordStoreFailure(now: number): void;
  getConfiguration(): ServiceConfiguration | undefined;
  getRevision(): number;
  /** Hashes the configuration version, evacuations and server entries. */
  computeDigest(): number;
  /** Time since the last confirmation, in milliseconds; infinite before the first. */
  computeAge(now: number): number;
  /** Lists the servers of a service that may receive new requests. */
  listServers(serviceName: string, now: number): TrackedServer[];
  findServer(serverId: string): TrackedServer | undefined;
  listServerIds(): Set<string>;
  /**
   * Builds the snapshot for a peer whose configuration has the version
   * `requesterVersion`; undefined before the first configuration.
   */
  buildSnapshot(
    requesterVersion: number,
    now: number,
  ): ClusterStateSnapshot | undefined;
}

/** After a store failure, entries that expired meanwhile are back within this time. */
const REMOVAL_GRACE_MS = 2000;
/** Within this time after a store failure, a deletion may be an expired entry. */
const STORE_FAILURE_WINDOW_MS = 3000;

/** Creates an empty cluster state. */
export function createClusterState(options: ClusterStateOptions): ClusterState {
  const {logger} = options;
  let configuration: ServiceConfiguration | undefined;
  let configurationText = '';
  let revision = 0;
  /** Undefined after a change, until the next call computes it. */
  let digest: number | undefined;
  let confirmedAt = -Infinity;
  let storeFailedAt = -Infinity;
  const servers = new Map<string, TrackedServer>();
  const evacuated = new Set<string>();

  function computeDigest(): number {
    digest ??= hashToUint32(
      JSON.stringify([
        configuration?.version,
        [...evacuated].sort(),
        [...servers.values()]
          .map(({server}) => [server.id, server.isDraining, server.startedAt])
          .sort(),
      ]),
    );
    return digest;
  }

  function acceptConfiguration(next: ServiceConfiguration, text: string): void {
    if (configuration && next.version <= configuration.version) {
      return;
    }
    logger.info('configuration_in_force', {
      version: next.version,
      replaced: configuration?.version,
      routes: next.routes.length,
    });
    configuration = next;
    configurationText = text;
  }

  function computeColdUntil(server: BackendServer, now: number): number {
    return server.coldLeftMs > 0 ? now + server.coldLeftMs : 0;
  }

  function storeServer(server: BackendServer, now: number): void {
    const tracked = servers.get(server.id);
    const isRestarted =
      tracked !== undefined && tracked.server.startedAt !== server.startedAt;
    if (!tracked || isRestarted) {
      logger.info('server_listed', {
        server: server.id,
        service: server.serviceName,
        address: server.address,
        coldLeftMs: server.coldLeftMs,
        restarted: isRestarted,
      });
    }
    if (server.isDraining && tracked?.server.isDraining === false) {
      logger.info('server_draining', {server: server.id});
    }
    servers.set(server.id, {
      server,
      coldUntil: Math.max(
        tracked && !isRestarted ? tracked.coldUntil : 0,
        computeColdUntil(server, now),
      ),
      removalDueAt: undefined,
    });
  }

  /**
   * Removes a server. Soon after a store failure, its entry may only have expired
   * during the failure, so the server is kept for a grace period.
   */
  function removeServer(serverId: string, now: number): void {
    const tracked = servers.get(serverId);
    if (!tracked) {
      return;
    }
    const mayReappear =
      now - storeFailedAt < STORE_FAILURE_WINDOW_MS &&
      !tracked.server.isDraining;
    if (mayReappear) {
      tracked.removalDueAt ??= now + REMOVAL_GRACE_MS;
      logger.info('server_lapsed', {
        server: serverId,
        graceMs: REMOVAL_GRACE_MS,
      });
      return;
    }
    servers.delete(serverId);
    logger.info('server_removed', {server: serverId});
  }

  /**
   * Starts or ends an evacuation. When it ends, all servers of the data centre
   * count as cold, whatever their entries say.
   */
  function setEvacuated(
    dataCentre: string,
    isEvacuated: boolean,
    now: number,
  ): void {
    if (evacuated.has(dataCentre) === isEvacuated) {
      return;
    }
    logger.info('evacuation', {dataCentre, isEvacuated});
    if (isEvacuated) {
      evacuated.add(dataCentre);
      return;
    }
    evacuated.delete(dataCentre);
    markCold(dataCentre, now);
  }

  function markCold(dataCentre: string, now: number): void {
    for (const tracked of servers.values()) {
      const service = configuration?.services.get(tracked.server.serviceName);
      if (tracked.server.dataCentre === dataCentre && service) {
        tracked.coldUntil = Math.max(tracked.coldUntil, now + service.coldMs);
      }
    }
  }

  const handlers: {
    [T in StoreChange['type']]: (
      change: Extract<StoreChange, {type: T}>,
      now: number,
    ) => void;
  } = {
    configuration: change =>
      acceptConfiguration(change.configuration, change.text),
    evacuation: (change, now) =>
      setEvacuated(change.dataCentre, change.isEvacuated, now),
    server: (change, now) => storeServer(change.server, now),
    server_gone: (change, now) => removeServer(change.serverId, now),
  };

  function applyChange(change: StoreChange, now: number): void {
    digest = undefined;
    const handler = handlers[change.type] as (
      c: StoreChange,
      n: number,
    ) => void;
    handler(change, now);
  }

  /** Removes the servers and evacuations that a full snapshot does not contain. */
  function removeUnlisted(changes: readonly StoreChange[], now: number): void {
    const listed = new Set(
      changes.flatMap(item => (item.type === 'server' ? [item.server.id] : [])),
    );
    const listedEvacuated = new Set(
      changes.flatMap(item =>
        item.type === 'evacuation' && item.isEvacuated ? [item.dataCentre] : [],
      ),
    );
    for (const serverId of [...servers.keys()]) {
      if (!listed.has(serverId)) {
        removeServer(serverId, now);
      }
    }
    for (const dataCentre of [...evacuated]) {
      if (!listedEvacuated.has(dataCentre)) {
        setEvacuated(dataCentre, false, now);
      }
    }
  }

  function removeExpired(now: number): void {
    for (const [id, tracked] of servers) {
      if (tracked.removalDueAt !== undefined && tracked.removalDueAt <= now) {
        servers.delete(id);
        digest = undefined;
        logger.info('server_removed', {server: id, reason: 'lapsed'});
      }
    }
  }

  function decodeSnapshotConfiguration({
    configurationText: text,
  }: ClusterStateSnapshot): StoreChange[] {
    return text === ''
      ? []
      : [
          {
            type: 'configuration',
            configuration: options.decodeConfiguration(text),
            text,
          },
        ];
  }

  function applyStoreSnapshot(snapshot: StoreSnapshot, now: number): void {
    for (const change of snapshot.changes) {
      applyChange(change, now);
    }
    if (snapshot.isFull) {
      digest = undefined;
      removeUnlisted(snapshot.changes, now);
    }
    revision = Math.max(revision, snapshot.revision);
    confirmedAt = Math.max(confirmedAt, now);
  }

  return {
    applyStoreSnapshot,
    applyPeerSnapshot: (snapshot, now) => {
      if (snapshot.revision < revision) {
        return;
      }
      const changes: StoreChange[] = [
        ...decodeSnapshotConfiguration(snapshot),
        ...snapshot.evacuated.map(
          dataCentre =>
            ({type: 'evacuation', dataCentre, isEvacuated: true}) as const,
        ),
        ...snapshot.servers.map(server => ({type: 'server', server}) as const),
      ];
      const peerConfirmedAt = now - snapshot.confirmedAgeMs;
      const storeSnapshot = {
        revision: snapshot.revision,
        changes,
        isFull: true,
      };
      const lastConfirmedAt = confirmedAt;
      applyStoreSnapshot(storeSnapshot, now);
      confirmedAt = Math.max(lastConfirmedAt, peerConfirmedAt);
    },
    confirmByPeer: (version, ageMs, now) => {
      if (configuration && version === configuration.version) {
        confirmedAt = Math.max(confirmedAt, now - ageMs);
      }
    },
    clearConfirmation: () => {
      confirmedAt = -Infinity;
    },
    recordStoreFailure: now => {
      storeFailedAt = now;
    },
    getConfiguration: () => configuration,
    getRevision: () => revision,
    computeDigest,
    computeAge: now => now - confirmedAt,
    listServers: (serviceName, now) => {
      removeExpired(now);
      return [...servers.values()].filter(
        ({server}) =>
          server.serviceName === serviceName &&
          !server.isDraining &&
          !evacuated.has(server.dataCentre),
      );
    },
    findServer: serverId => servers.get(serverId),
    listServerIds: () => new Set(servers.keys()),
    buildSnapshot: (requesterVersion, now) =>
      configuration && {
        revision,
        confirmedAgeMs: now - confirmedAt,
        version: configuration.version,
        configurationText:
          requesterVersion === configuration.version ? '' : configurationText,
        evacuated: [...evacuated],
        servers: [...servers.values()]
          .filter(tracked => tracked.removalDueAt === undefined)
          .map(({server, coldUntil}) => ({
            ...server,
            coldLeftMs: Math.max(0, coldUntil - now),
          })),
      },
  };
}
