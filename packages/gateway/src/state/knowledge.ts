/**
 * What an instance believes of the store: the configuration, the backend
 * servers and evacuated data centres, and how old that belief is.
 */
import {hashToUint32} from '@buckthornbeam/shared';
import type {Logger} from '@buckthornbeam/shared';
import type {BackendServer, ServiceConfiguration} from '../model.js';
import type {StoreChange, StoreReading} from '../ports.js';

/** The belief as instances pass it on to each other. */
export interface KnowledgeSnapshot {
  revision: number;
  /** Age of the last confirmation by the store, in milliseconds. */
  confirmedAgeMs: number;
  version: number;
  /** Empty for a reader that has this version. */
  configurationText: string;
  evacuated: readonly string[];
  servers: readonly BackendServer[];
}

/** Options of {@link createKnowledge}. */
export interface KnowledgeOptions {
  logger: Logger;
  decodeConfiguration: (text: string) => ServiceConfiguration;
}

/** A server with what the instance adds to its entry. */
export interface KnownServer {
  server: BackendServer;
  /** End of its time as a cold server by the local clock, in milliseconds. */
  coldUntil: number;
  /** The entry vanished; it is dropped at this time unless it comes back. */
  lapsesAt: number | undefined;
}

/** The belief. */
export interface Knowledge {
  /** Takes an answer of the store, as it was at `now`. */
  applyReading(reading: StoreReading, now: number): void;
  /** Takes the belief of a peer that has seen more. */
  applySnapshot(snapshot: KnowledgeSnapshot, now: number): void;
  /** A peer with the same configuration had it confirmed so long ago. */
  confirmByPeer(version: number, ageMs: number, now: number): void;
  /** The process was suspended; nothing counts as confirmed any more. */
  distrustAge(): void;
  /** The store could not be read. */
  recordDisturbance(now: number): void;
  getConfiguration(): ServiceConfiguration | undefined;
  getRevision(): number;
  /** Equal for the same configuration, evacuations and servers. */
  computeDigest(): number;
  /** Age of the last confirmation of the configuration, in milliseconds. */
  computeAge(now: number): number;
  /** Servers of a service that new requests may go to. */
  listServers(serviceName: string, now: number): KnownServer[];
  findServer(serverId: string): KnownServer | undefined;
  listServerIds(): Set<string>;
  /** Builds a snapshot for a reader that has a version of the configuration. */
  buildSnapshot(
    readerVersion: number,
    now: number,
  ): KnowledgeSnapshot | undefined;
}

/** After a disturbance of the store, entries that lapsed come back within this time. */
const LAPSE_GRACE_MS = 2000;
/** A deletion this soon after a disturbance may be a lapse. */
const DISTURBANCE_MS = 3000;

/** Creates a belief that holds nothing. */
export function createKnowledge(options: KnowledgeOptions): Knowledge {
  const {logger} = options;
  let configuration: ServiceConfiguration | undefined;
  let configurationText = '';
  let revision = 0;
  /** Undefined while it is to be computed again. */
  let digest: number | undefined;
  let confirmedAt = -Infinity;
  let disturbedAt = -Infinity;
  const servers = new Map<string, KnownServer>();
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
    const known = servers.get(server.id);
    const isRestarted =
      known !== undefined && known.server.startedAt !== server.startedAt;
    if (!known || isRestarted) {
      logger.info('server_listed', {
        server: server.id,
        service: server.serviceName,
        address: server.address,
        coldLeftMs: server.coldLeftMs,
        restarted: isRestarted,
      });
    }
    if (server.isDraining && known?.server.isDraining === false) {
      logger.info('server_draining', {server: server.id});
    }
    servers.set(server.id, {
      server,
      coldUntil: Math.max(
        known && !isRestarted ? known.coldUntil : 0,
        computeColdUntil(server, now),
      ),
      lapsesAt: undefined,
    });
  }

  /** An entry that vanishes after a disturbance may have lapsed with it. */
  function removeServer(serverId: string, now: number): void {
    const known = servers.get(serverId);
    if (!known) {
      return;
    }
    const mayHaveLapsed =
      now - disturbedAt < DISTURBANCE_MS && !known.server.isDraining;
    if (mayHaveLapsed) {
      known.lapsesAt ??= now + LAPSE_GRACE_MS;
      logger.info('server_lapsed', {server: serverId, graceMs: LAPSE_GRACE_MS});
      return;
    }
    servers.delete(serverId);
    logger.info('server_removed', {server: serverId});
  }

  /** Servers of a data centre that returns are cold whatever their entries say. */
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
    for (const known of servers.values()) {
      const service = configuration?.services.get(known.server.serviceName);
      if (known.server.dataCentre === dataCentre && service) {
        known.coldUntil = Math.max(known.coldUntil, now + service.coldMs);
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

  /** A whole reading says by omission what is gone. */
  function removeUnlisted(changes: readonly StoreChange[], now: number): void {
    const listed = new Set(
      changes.flatMap(item => (item.type === 'server' ? [item.server.id] : [])),
    );
    const stillEvacuated = new Set(
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
      if (!stillEvacuated.has(dataCentre)) {
        setEvacuated(dataCentre, false, now);
      }
    }
  }

  function removeLapsed(now: number): void {
    for (const [id, known] of servers) {
      if (known.lapsesAt !== undefined && known.lapsesAt <= now) {
        servers.delete(id);
        digest = undefined;
        logger.info('server_removed', {server: id, reason: 'lapsed'});
      }
    }
  }

  function decodeSnapshotConfiguration({
    configurationText: text,
  }: KnowledgeSnapshot): StoreChange[] {
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

  function applyReading(reading: StoreReading, now: number): void {
    for (const change of reading.changes) {
      applyChange(change, now);
    }
    if (reading.isWhole) {
      digest = undefined;
      removeUnlisted(reading.changes, now);
    }
    revision = Math.max(revision, reading.revision);
    confirmedAt = Math.max(confirmedAt, now);
  }

  return {
    applyReading,
    applySnapshot: (snapshot, now) => {
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
      const readAt = now - snapshot.confirmedAgeMs;
      const reading = {revision: snapshot.revision, changes, isWhole: true};
      const ownConfirmation = confirmedAt;
      applyReading(reading, now);
      confirmedAt = Math.max(ownConfirmation, readAt);
    },
    confirmByPeer: (version, ageMs, now) => {
      if (configuration && version === configuration.version) {
        confirmedAt = Math.max(confirmedAt, now - ageMs);
      }
    },
    distrustAge: () => {
      confirmedAt = -Infinity;
    },
    recordDisturbance: now => {
      disturbedAt = now;
    },
    getConfiguration: () => configuration,
    getRevision: () => revision,
    computeDigest,
    computeAge: now => now - confirmedAt,
    listServers: (serviceName, now) => {
      removeLapsed(now);
      return [...servers.values()].filter(
        ({server}) =>
          server.serviceName === serviceName &&
          !server.isDraining &&
          !evacuated.has(server.dataCentre),
      );
    },
    findServer: serverId => servers.get(serverId),
    listServerIds: () => new Set(servers.keys()),
    buildSnapshot: (readerVersion, now) =>
      configuration && {
        revision,
        confirmedAgeMs: now - confirmedAt,
        version: configuration.version,
        configurationText:
          readerVersion === configuration.version ? '' : configurationText,
        evacuated: [...evacuated],
        servers: [...servers.values()]
          .filter(known => known.lapsesAt === undefined)
          .map(({server, coldUntil}) => ({
            ...server,
            coldLeftMs: Math.max(0, coldUntil - now),
          })),
      },
  };
}
