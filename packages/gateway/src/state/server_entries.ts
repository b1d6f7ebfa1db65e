/**
 * Entries of the backend servers as an instance caches them, with the revisions of
 * the store at which they changed, so that a peer can be sent the difference.
 */
import type {Logger} from '@buckthornbeam/shared';
import type {BackendServer} from '../model.js';

/** An entry of a backend server with local deadlines. */
export interface TrackedServer {
  server: BackendServer;
  /** Local time until which the server counts as cold, in milliseconds. */
  coldUntil: number;
  /**
   * Local time from which a missing entry may be removed, in milliseconds;
   * undefined while the entry is present.
   */
  removalDueAt: number | undefined;
}

/** Entry of a server in a snapshot; times in milliseconds, as of the snapshot. */
export interface SnapshotServer extends BackendServer {
  /** Remaining time for which the server counts as cold. */
  coldForMs: number;
  /** Remaining grace period if the entry is missing in the store. */
  removalInMs: number | undefined;
}

/** What is stored for a server beside its entry. */
export interface EntryTimes {
  /** Time from now for which it counts as cold, in milliseconds. */
  coldForMs?: number;
  removalDueAt?: number | undefined;
}

/** Cached entries; `now` is the local monotonic time in milliseconds. */
export interface ServerEntries {
  /** Sets the revision with which the next changes are recorded. */
  beginRevision(revision: number): void;
  /** Stores an entry; with no times given, it is cold as its entry says. */
  store(server: BackendServer, now: number, times?: EntryTimes): void;
  storeFromPeer(entry: SnapshotServer, now: number): void;
  /** Removes an entry, at once or after a grace period in which it may reappear. */
  remove(serverId: string, now: number, graceMs: number): void;
  /**
   * Removes entries whose grace period was over when the list was last confirmed:
   * only then is it known that they did not reappear.
   */
  removeExpired(confirmedAt: number): void;
  /** Extends the cold time of a server. */
  markCold(serverId: string, coldUntil: number): void;
  list(): TrackedServer[];
  find(serverId: string): TrackedServer | undefined;
  /**
   * Describes the entries that are present in the store, without their times and in a
   * fixed order.
   */
  describePresent(): string[];
  /** Whether the changes since a revision are known. */
  knowsChangesSince(revision: number): boolean;
  /** Lists the entries that changed after a revision. */
  listChanged(revision: number, now: number): SnapshotServer[];
  /** Lists the ids of the servers removed after a revision. */
  listRemoved(revision: number): string[];
}

/** Removed servers that are remembered. */
const MAXIMUM_REMOVED = 500;

/** Describes an entry without its times. */
function describeEntry({server}: TrackedServer): string {
  return JSON.stringify([
    server.id,
    server.serviceName,
    server.address,
    server.dataCentre,
    server.isDraining,
    server.slots,
    server.startedAt,
    server.coldLeftMs > 0,
  ]);
}

/** Whether the entry was in the store when it was last read. */
function isPresent({removalDueAt}: TrackedServer): boolean {
  return removalDueAt === undefined;
}

function buildSnapshotServer(
  {server, coldUntil, removalDueAt}: TrackedServer,
  now: number,
): SnapshotServer {
  return {
    ...server,
    coldForMs: Math.max(0, coldUntil - now),
    removalInMs:
      removalDueAt === undefined ? undefined : Math.max(0, removalDueAt - now),
  };
}

/** Creates an empty list that calls `onChange` after each change. */
export function createServerEntries(options: {
  logger: Logger;
  onChange: () => void;
}): ServerEntries {
  const {logger, onChange} = options;
  const entries = new Map<string, TrackedServer>();
  const changedRevisions = new Map<string, number>();
  /** Revisions at which servers were removed, oldest first. */
  const removedRevisions = new Map<string, number>();
  /** Lowest revision from which all changes are known. */
  let firstRevision: number | undefined;
  let currentRevision = 0;

  function logChange(server: BackendServer, tracked?: TrackedServer): void {
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
  }

  function setEntry(next: TrackedServer): void {
    const {id} = next.server;
    const previous = entries.get(id);
    const isChanged =
      !previous ||
      isPresent(previous) !== isPresent(next) ||
      describeEntry(previous) !== describeEntry(next);
    if (isChanged) {
      changedRevisions.set(id, currentRevision);
    }
    entries.set(id, next);
    removedRevisions.delete(id);
    onChange();
  }

  function store(
    server: BackendServer,
    now: number,
    {coldForMs = server.coldLeftMs, removalDueAt}: EntryTimes = {},
  ): void {
    const tracked = entries.get(server.id);
    logChange(server, tracked);
    const isSameProcess =
      tracked !== undefined && tracked.server.startedAt === server.startedAt;
    setEntry({
      server,
      coldUntil: Math.max(
        isSameProcess ? tracked.coldUntil : 0,
        coldForMs > 0 ? now + coldForMs : 0,
      ),
      removalDueAt,
    });
  }

  function removeEntry(serverId: string, reason: string): void {
    entries.delete(serverId);
    changedRevisions.delete(serverId);
    removedRevisions.set(serverId, currentRevision);
    if (removedRevisions.size > MAXIMUM_REMOVED) {
      const [[oldestId, revision]] = [...removedRevisions] as [
        [string, number],
      ];
      removedRevisions.delete(oldestId);
      firstRevision = Math.max(firstRevision ?? revision, revision);
    }
    logger.info('server_removed', {server: serverId, reason});
    onChange();
  }

  return {
    beginRevision: revision => {
      firstRevision ??= revision;
      currentRevision = Math.max(currentRevision, revision);
    },
    store,
    storeFromPeer: ({coldForMs, removalInMs, ...server}, now) =>
      store(server, now, {
        coldForMs,
        removalDueAt: removalInMs === undefined ? undefined : now + removalInMs,
      }),
    remove: (serverId, now, graceMs) => {
      const tracked = entries.get(serverId);
      if (!tracked) {
        return;
      }
      if (graceMs <= 0) {
        removeEntry(serverId, 'gone');
        return;
      }
      if (tracked.removalDueAt === undefined) {
        logger.info('server_lapsed', {server: serverId, graceMs});
        setEntry({...tracked, removalDueAt: now + graceMs});
      }
    },
    removeExpired: confirmedAt => {
      for (const [id, {removalDueAt}] of entries) {
        if (removalDueAt !== undefined && removalDueAt <= confirmedAt) {
          removeEntry(id, 'lapsed');
        }
      }
    },
    markCold: (serverId, coldUntil) => {
      const tracked = entries.get(serverId)!;
      tracked.coldUntil = Math.max(tracked.coldUntil, coldUntil);
    },
    list: () => [...entries.values()],
    find: serverId => entries.get(serverId),
    describePresent: () =>
      [...entries.values()].filter(isPresent).map(describeEntry).sort(),
    knowsChangesSince: revision =>
      firstRevision !== undefined && revision >= firstRevision,
    listChanged: (revision, now) =>
      [...entries.values()]
        .filter(({server}) => changedRevisions.get(server.id)! > revision)
        .map(tracked => buildSnapshotServer(tracked, now)),
    listRemoved: revision =>
      [...removedRevisions]
        .filter(([, removedRevision]) => removedRevision > revision)
        .map(([serverId]) => serverId),
  };
}
