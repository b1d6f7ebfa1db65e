/**
 * Cluster state that an instance caches from the store: the configuration, the
 * backend servers and the evacuated data centres, with the time at which the
 * store last confirmed them.
 */
import {hashToUint32} from '@buckthornbeam/shared';
import type {Logger} from '@buckthornbeam/shared';
import type {ServiceConfiguration} from '../model.js';
import type {StoreChange, StoreSnapshot} from '../ports.js';
import {createRestoredStore} from './restored_store.js';
import {createServerEntries} from './server_entries.js';
import type {SnapshotServer, TrackedServer} from './server_entries.js';
import {assertStoreEpoch, getStoreEpoch} from './store_position.js';

/** Cluster state that an instance sends to a peer, as JSON. */
export interface ClusterStateSnapshot {
  /** Position of the store, see `store_position`; the same holds for all revisions. */
  revision: number;
  /** Time since the store last confirmed the state, in milliseconds. */
  confirmedAgeMs: number;
  version: number;
  /** Empty if the requester already has this version. */
  configurationText: string;
  evacuated: readonly string[];
  /** If set, only servers that changed after this revision are listed. */
  sinceRevision: number | undefined;
  /** Digest of the sender's whole state. */
  digest: number;
  servers: readonly SnapshotServer[];
  /** Ids of the servers removed after `sinceRevision`. */
  removedServerIds: readonly string[];
}

/** What a peer already has when it requests a snapshot. */
export interface SnapshotRequest {
  /** Version of its configuration; 0 without one. */
  version: number;
  /** Revision up to which its state is complete; undefined to get all servers. */
  revision: number | undefined;
}

/** Summary of an instance's cluster state, as sent with each gossip message. */
export interface StateSummary {
  /** Version of the configuration; 0 without one. */
  version: number;
  revision: number;
  digest: number;
  /** Time since the store last confirmed the state, in milliseconds. */
  confirmedAgeMs: number;
}

/** Options of {@link createClusterState}. */
export interface ClusterStateOptions {
  logger: Logger;
  decodeConfiguration: (text: string) => ServiceConfiguration;
}

/** Cached cluster state; `now` is the local monotonic time in milliseconds. */
export interface ClusterState {
  /**
   * Applies an answer of the store that was received at `now` and holds what the store
   * had at `confirmedAt` or later.
   * @throws RouterError `platform_unavailable` if it is of an earlier epoch
   */
  applyStoreSnapshot(
    snapshot: StoreSnapshot,
    now: number,
    confirmedAt?: number,
  ): void;
  /** Whether only a full read of the store tells what is in force. */
  isFullReadDue(now: number): boolean;
  /** Applies the state of a peer unless it has a lower revision than this instance. */
  applyPeerSnapshot(snapshot: ClusterStateSnapshot, now: number): void;
  /**
   * Records that the store confirmed its state to a peer. The age is that of the
   * peer if the configuration versions are equal, and the revision that of the peer
   * if the digests are equal as well.
   */
  confirmByPeer(summary: StateSummary, now: number): void;
  /** Makes the age infinite until the next confirmation, after a suspension. */
  clearConfirmation(): void;
  /**
   * Records a failed store read. Entries that are missing soon after the store's return
   * get a grace period.
   */
  recordStoreFailure(now: number): void;
  getConfiguration(): ServiceConfiguration | undefined;
  getRevision(): number;
  /**
   * Whether a configuration that a peer has is later than the own one although the
   * store that the own one comes from may have been restored from an older copy.
   */
  isConfigurationAhead(summary: Pick<StateSummary, 'version'>): boolean;
  /** Describes what a snapshot for this instance may leave out. */
  describeRequest(): SnapshotRequest;
  /**
   * Hashes everything that a snapshot contains, except times and entries in their
   * grace period.
   */
  computeDigest(): number;
  /** Time since the last confirmation, in milliseconds; infinite before the first. */
  computeAge(now: number): number;
  /** Lists the servers of a service that may receive new requests. */
  listServers(serviceName: string): TrackedServer[];
  findServer(serverId: string): TrackedServer | undefined;
  listServerIds(): Set<string>;
  /**
   * Builds a snapshot with what the peer lacks; undefined before the first
   * configuration.
   */
  buildSnapshot(
    request: SnapshotRequest,
    now: number,
  ): ClusterStateSnapshot | undefined;
}

/** After the store's return, entries that expired meanwhile are back within this time. */
const REMOVAL_GRACE_MS = 2000;
/**
 * A state that was not confirmed for this long may have missed a store failure that
 * others noticed, in which entries expired.
 */
const UNCONFIRMED_GAP_MS = 2200;

/** Creates an empty cluster state. */
export function createClusterState(options: ClusterStateOptions): ClusterState {
  const {logger} = options;
  let configuration: ServiceConfiguration | undefined;
  let configurationText = '';
  let revision = 0;
  /** Undefined after a change, until the next call computes it. */
  let digest: number | undefined;
  let confirmedAt = -Infinity;
  /** When the whole state was last confirmed, not just its configuration. */
  let listConfirmedAt = -Infinity;
  /** End of the last failed read; undefined once the store is known to have returned. */
  let storeFailedAt: number | undefined;
  /** Latest time at which the store can have returned from its last failure. */
  let storeReturnedAt = -Infinity;
  /** Whether the last difference from a peer led to the state of that peer. */
  let areDifferencesSound = true;
  const evacuated = new Set<string>();
  const restoredStore = createRestoredStore();
  const entries = createServerEntries({
    logger,
    onChange: () => {
      digest = undefined;
    },
  });

  function computeDigest(): number {
    digest ??= hashToUint32(
      JSON.stringify([
        configuration?.version,
        [...evacuated].sort(),
        entries.describePresent(),
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
    digest = undefined;
  }

  /** Records an answer of the store, to this instance or a peer, at the given time. */
  function recordStoreReturn(answeredAt: number): void {
    if (storeFailedAt !== undefined && answeredAt >= storeFailedAt) {
      storeReturnedAt = answeredAt;
      storeFailedAt = undefined;
    }
  }

  function recordConfirmation(at: number): void {
    recordStoreReturn(at);
    confirmedAt = Math.max(confirmedAt, at);
  }

  /**
   * Removes a server. Its entry may only have expired during a store failure, so the
   * server is kept until entries that did so are back.
   */
  function removeServer(serverId: string, now: number): void {
    const isDraining = entries.find(serverId)?.server.isDraining === true;
    const graceMs = storeReturnedAt + REMOVAL_GRACE_MS - now;
    entries.remove(serverId, now, isDraining ? 0 : graceMs);
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
    digest = undefined;
    if (isEvacuated) {
      evacuated.add(dataCentre);
      return;
    }
    evacuated.delete(dataCentre);
    markCold(dataCentre, now);
  }

  function markCold(dataCentre: string, now: number): void {
    for (const {server} of entries.list()) {
      const service = configuration?.services.get(server.serviceName);
      if (server.dataCentre === dataCentre && service) {
        entries.markCold(server.id, now + service.coldMs);
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
    evacuation: ({dataCentre, isEvacuated}, now) => {
      restoredStore.confirmEvacuation(dataCentre);
      setEvacuated(dataCentre, isEvacuated, now);
    },
    server: ({server}, now) => {
      const previous = entries.find(server.id)?.server;
      entries.store(restoredStore.mergeServer(server, previous, now), now);
    },
    server_gone: (change, now) => removeServer(change.serverId, now),
  };

  function applyChange(change: StoreChange, now: number): void {
    const handler = handlers[change.type] as (
      c: StoreChange,
      n: number,
    ) => void;
    handler(change, now);
  }

  function removeUnlistedServers(
    listed: ReadonlySet<string>,
    now: number,
  ): void {
    for (const {server} of entries.list()) {
      if (!listed.has(server.id)) {
        removeServer(server.id, now);
      }
    }
  }

  function endUnlistedEvacuations(
    listed: ReadonlySet<string>,
    now: number,
  ): void {
    for (const dataCentre of [...evacuated]) {
      if (
        !listed.has(dataCentre) &&
        !restoredStore.isEvacuationKept(dataCentre, now)
      ) {
        setEvacuated(dataCentre, false, now);
      }
    }
  }

  /**
   * A store of a later epoch has lost what was written since its copy, so entries that
   * are missing in it get the grace period of a failure.
   */
  function recordEpoch(position: number, now: number): void {
    if (configuration && getStoreEpoch(position) > getStoreEpoch(revision)) {
      logger.warn('store_restored', {
        epoch: getStoreEpoch(position),
        version: configuration.version,
      });
      storeFailedAt = now;
      restoredStore.begin(evacuated, now);
    }
  }

  /** Removes the servers and evacuations that a full snapshot does not contain. */
  function removeUnlisted(changes: readonly StoreChange[], now: number): void {
    const serverIds = changes.flatMap(item =>
      item.type === 'server' ? [item.server.id] : [],
    );
    removeUnlistedServers(new Set(serverIds), now);
    const dataCentres = changes.flatMap(item =>
      item.type === 'evacuation' && item.isEvacuated ? [item.dataCentre] : [],
    );
    endUnlistedEvacuations(new Set(dataCentres), now);
  }

  function applyStoreSnapshot(
    snapshot: StoreSnapshot,
    now: number,
    storeConfirmedAt = now,
  ): void {
    if (configuration && now - confirmedAt > UNCONFIRMED_GAP_MS) {
      storeFailedAt = now;
    }
    const epoch = getStoreEpoch(snapshot.revision);
    if (epoch < getStoreEpoch(revision)) {
      // A peer heard of the restore while this read of the former store was under way.
      assertStoreEpoch(getStoreEpoch(revision), epoch);
    }
    recordEpoch(snapshot.revision, now);
    recordStoreReturn(now);
    const nextRevision = Math.max(revision, snapshot.revision);
    entries.beginRevision(nextRevision);
    for (const change of snapshot.changes) {
      applyChange(change, now);
    }
    if (snapshot.isFull) {
      removeUnlisted(snapshot.changes, now);
      restoredStore.recordFullRead(now);
    }
    revision = nextRevision;
    areDifferencesSound = true;
    recordConfirmation(storeConfirmedAt);
    listConfirmedAt = now;
  }

  function acceptPeerConfiguration(text: string): void {
    if (text !== '') {
      acceptConfiguration(options.decodeConfiguration(text), text);
    }
  }

  /**
   * Whether a peer has a later configuration than the copy from which the store was
   * restored: this instance read the copy without having seen that configuration.
   */
  function isConfigurationAhead({version}: {version: number}): boolean {
    return (
      configuration !== undefined &&
      version > configuration.version &&
      getStoreEpoch(revision) > 0
    );
  }

  function applyPeerServers(snapshot: ClusterStateSnapshot, now: number): void {
    snapshot.servers.forEach(entry => {
      const previous = entries.find(entry.id)?.server;
      const merged = restoredStore.mergeServer(entry, previous, now);
      entries.storeFromPeer(merged, now);
    });
    snapshot.removedServerIds.forEach(id => entries.remove(id, now, 0));
    if (snapshot.sinceRevision === undefined) {
      const listed = new Set(snapshot.servers.map(entry => entry.id));
      entries
        .list()
        .filter(({server}) => !listed.has(server.id))
        // The peer lists entries in their grace period as well.
        .forEach(({server}) => entries.remove(server.id, now, 0));
    }
  }

  function applyPeerSnapshot(
    snapshot: ClusterStateSnapshot,
    now: number,
  ): void {
    const {sinceRevision = revision} = snapshot;
    if (isConfigurationAhead(snapshot)) {
      acceptPeerConfiguration(snapshot.configurationText);
    }
    if (snapshot.revision < revision || sinceRevision > revision) {
      return;
    }
    recordEpoch(snapshot.revision, now);
    entries.beginRevision(snapshot.revision);
    acceptPeerConfiguration(snapshot.configurationText);
    snapshot.evacuated.forEach(item => setEvacuated(item, true, now));
    endUnlistedEvacuations(new Set(snapshot.evacuated), now);
    applyPeerServers(snapshot, now);
    recordConfirmation(now - snapshot.confirmedAgeMs);
    // The peer may not know of changes that were undone before it saw them.
    areDifferencesSound =
      snapshot.sinceRevision === undefined ||
      computeDigest() === snapshot.digest;
    if (areDifferencesSound) {
      revision = snapshot.revision;
      listConfirmedAt = Math.max(
        listConfirmedAt,
        now - snapshot.confirmedAgeMs,
      );
    }
  }

  function buildSnapshot(
    request: SnapshotRequest,
    now: number,
  ): ClusterStateSnapshot | undefined {
    if (!configuration) {
      return undefined;
    }
    entries.removeExpired(listConfirmedAt);
    const sinceRevision =
      request.revision !== undefined &&
      entries.knowsChangesSince(request.revision)
        ? request.revision
        : undefined;
    return {
      revision,
      confirmedAgeMs: now - confirmedAt,
      version: configuration.version,
      configurationText:
        request.version === configuration.version ? '' : configurationText,
      evacuated: [...evacuated],
      sinceRevision,
      digest: computeDigest(),
      servers: entries.listChanged(sinceRevision ?? -Infinity, now),
      removedServerIds:
        sinceRevision === undefined ? [] : entries.listRemoved(sinceRevision),
    };
  }

  return {
    applyStoreSnapshot,
    isFullReadDue: now => restoredStore.isFullReadDue(now),
    applyPeerSnapshot,
    confirmByPeer: (summary, now) => {
      if (!configuration || summary.version !== configuration.version) {
        return;
      }
      const peerConfirmedAt = now - summary.confirmedAgeMs;
      recordConfirmation(peerConfirmedAt);
      if (summary.revision >= revision && summary.digest === computeDigest()) {
        recordEpoch(summary.revision, now);
        revision = summary.revision;
        entries.beginRevision(revision);
        areDifferencesSound = true;
        listConfirmedAt = Math.max(listConfirmedAt, peerConfirmedAt);
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
    isConfigurationAhead,
    describeRequest: () => ({
      version: configuration?.version ?? 0,
      revision: configuration && areDifferencesSound ? revision : undefined,
    }),
    computeDigest,
    computeAge: now => now - confirmedAt,
    listServers: serviceName => {
      entries.removeExpired(listConfirmedAt);
      return entries
        .list()
        .filter(
          ({server}) =>
            server.serviceName === serviceName &&
            !server.isDraining &&
            !evacuated.has(server.dataCentre),
        );
    },
    findServer: serverId => entries.find(serverId),
    listServerIds: () => new Set(entries.list().map(({server}) => server.id)),
    buildSnapshot,
  };
}
