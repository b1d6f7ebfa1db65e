/**
 * Table of the other instances, maintained by gossip. It performs no I/O: the
 * caller passes in received records and the time, and sends what it returns.
 */

import {hashToUint32, pickSample} from '@buckthornbeam/shared';
import {isFullMesh} from './report_groups.js';

/** An instance as it describes itself in its gossip messages. */
export interface GossipRecord {
  instanceId: string;
  /** Unique for each start of the process. */
  incarnation: string;
  /** Incremented with each message that the incarnation builds. */
  round: number;
  /** `host:port` for gossip. */
  gossipAddress: string;
  /** `host:port` for callers. */
  callerAddress: string;
  dataCentre: string;
  isReady: boolean;
  isLeaving: boolean;
}

/** The record of another instance, as relayed in a gossip message. */
export interface RelayedRecord {
  record: GossipRecord;
  /** Time since the instance was heard, in milliseconds. */
  ageMs: number;
}

/** States that an instance was alive; ignored without a record of the same hash. */
export interface LivenessEntry {
  /** Hash of all fields of the record except `round`. */
  stateHash: number;
  /** Time since the instance was heard, in milliseconds. */
  ageMs: number;
}

/** An instance in the table; never this one. */
export interface GossipMember {
  record: GossipRecord;
  /** See {@link LivenessEntry}. */
  stateHash: number;
  /**
   * When it was last heard by any instance, as far as known, in milliseconds of
   * the local clock.
   */
  lastSeenAt: number;
}

/** Options of {@link createGossipTable}. */
export interface GossipTableOptions {
  selfId: string;
  /** Gossip addresses to contact at the start; some may be outdated. */
  seedAddresses: readonly string[];
  /** Own gossip address, which is never a target. */
  selfAddress: string;
  /** Time after which an instance that was not heard is removed, in ms. */
  forgetMs?: number;
}

export interface GossipTable {
  /**
   * Applies the record of a message's sender. Returns false if it is older than
   * the stored one, so that the message is to be ignored.
   */
  acceptDirect(record: GossipRecord, now: number): boolean;
  /** Applies a relayed record; returns whether it changed the table. */
  acceptRelayed(relayed: RelayedRecord, now: number): boolean;
  acceptLiveness(entries: readonly LivenessEntry[], now: number): void;
  /**
   * Lists the hashes of the instances that were not heard for longer than
   * {@link SILENT_MS}.
   */
  listSilent(now: number): number[];
  /**
   * Applies the list of silent instances of another table with the same digest:
   * all others were heard.
   */
  acceptSilent(stateHashes: readonly number[], now: number): void;
  /** Lists the instances heard recently, without this one. */
  listAlive(now: number): GossipMember[];
  /** Lists all other instances that are not removed yet. */
  listKnown(): GossipMember[];
  /**
   * Lists the sorted ids of this and all other instances not removed yet; the same
   * list while these are the same.
   */
  listRecentIds(now: number): readonly string[];
  findByHash(stateHash: number): GossipMember | undefined;
  /** Lists the state hashes of all instances in the table. */
  listHashes(): number[];
  /** Finds the state hash of an instance in the table. */
  findHash(instanceId: string): number | undefined;
  /** Finds the gossip address of an instance in the table. */
  findAddress(instanceId: string): string | undefined;
  /**
   * Combines the state hashes of the table and of this instance. Instances with
   * equal digests have the same records.
   */
  computeDigest(selfHash: number): number;
  /** Picks records whose hashes are not in the list of another instance. */
  pickMissing(
    hashes: readonly number[],
    now: number,
    count: number,
    nextFloat: () => number,
  ): RelayedRecord[];
  /** Picks random instances to contact, new senders first. */
  pickTargets(count: number, now: number, nextFloat: () => number): string[];
  /** Lists the seeds that match no instance in the table. */
  listUnmatchedSeeds(): string[];
  /**
   * Time at which a record last changed, or an instance was heard again that was
   * not alive; -Infinity before the first.
   */
  getLastChangeAt(): number;
  /** Whether most of the instances in the table are not alive. */
  isIsolated(now: number): boolean;
  /** Replaces the seed addresses after a change of the settings. */
  updateSeeds(addresses: readonly string[]): void;
}

/** In a full mesh: eight rounds of 250 ms, so that lost datagrams are tolerated. */
const FULL_MESH_ALIVE_MS = 2000;
/**
 * With publishers, an instance is heard through the lists of two of them, which
 * may have to be replaced meanwhile.
 */
const GROUPED_ALIVE_MS = 5500;
/** Age from which an instance is listed as silent; lists with loss stay below. */
export const SILENT_MS = 2500;
/** Time without lists from which missing lists keep instances alive. */
const LIVENESS_INTERVAL_MS = 1000;
/** Longest time for which missing lists keep instances alive. */
const MAXIMUM_EXTENSION_MS = 1000;
/** New senders that are contacted in one round. */
const NEW_SENDERS_PER_ROUND = 4;
/** Longer than an instance takes to restart. */
const DEFAULT_FORGET_MS = 15_000;
/** A message of a replaced incarnation that arrives later is not a late one. */
const LATE_MESSAGE_MS = 2000;
/** Replaced incarnations that are remembered. */
const MAXIMUM_REPLACED = 2000;

type RecordState = Omit<GossipRecord, 'round'>;

/** Whether two records differ in their rounds at most. */
export function isSameState(first: RecordState, second: RecordState): boolean {
  return (
    first.instanceId === second.instanceId &&
    first.incarnation === second.incarnation &&
    first.gossipAddress === second.gossipAddress &&
    first.callerAddress === second.callerAddress &&
    first.dataCentre === second.dataCentre &&
    first.isReady === second.isReady &&
    first.isLeaving === second.isLeaving
  );
}

/** Hashes all fields of a record except `round`. */
export function computeStateHash(record: RecordState): number {
  const {instanceId, incarnation, gossipAddress, callerAddress} = record;
  return hashToUint32(
    [
      instanceId,
      incarnation,
      gossipAddress,
      callerAddress,
      record.dataCentre,
      record.isReady,
      record.isLeaving,
    ].join('\n'),
  );
}

export function createGossipTable(options: GossipTableOptions): GossipTable {
  const {selfId, selfAddress, forgetMs = DEFAULT_FORGET_MS} = options;
  let seeds = [...options.seedAddresses];
  const members = new Map<string, GossipMember>();
  const membersByStateHash = new Map<number, GossipMember>();
  /** Their late messages are ignored, so that they do not undo the replacement. */
  const replacedIncarnations = new Set<string>();
  /** Addresses of new senders, which are contacted next. */
  const newSenderAddresses: string[] = [];
  /** Combination of the state hashes in the table. */
  let digest = 0;
  let lastChangeAt = -Infinity;
  /** Kept until an instance is added or removed, so that callers can compare it. */
  let recentIds: readonly string[] | undefined;
  let livenessReceivedAt = -Infinity;

  /**
   * Computes the time after which an instance that was not heard is not alive.
   * Without the lists of live instances, nothing is known about the others.
   */
  function computeAliveMs(now: number): number {
    if (isFullMesh(members.size + 1)) {
      return FULL_MESH_ALIVE_MS;
    }
    const missingMs = now - livenessReceivedAt - LIVENESS_INTERVAL_MS;
    return (
      GROUPED_ALIVE_MS + Math.min(MAXIMUM_EXTENSION_MS, Math.max(0, missingMs))
    );
  }

  function listAlive(now: number): GossipMember[] {
    const oldestAliveAt = now - computeAliveMs(now);
    return [...members.values()].filter(
      member => member.lastSeenAt >= oldestAliveAt,
    );
  }

  function isNewer(record: GossipRecord, stored: GossipMember): boolean {
    return (
      record.incarnation === stored.record.incarnation &&
      record.round > stored.record.round
    );
  }

  function removeMember(member: GossipMember | undefined): void {
    if (member) {
      members.delete(member.record.instanceId);
      recentIds = undefined;
      membersByStateHash.delete(member.stateHash);
      digest ^= member.stateHash;
    }
  }

  function storeRecord(
    record: GossipRecord,
    lastSeenAt: number,
    now: number,
  ): void {
    const stored = members.get(record.instanceId);
    if (stored && isSameState(stored.record, record)) {
      stored.record = record;
      stored.lastSeenAt = Math.max(stored.lastSeenAt, lastSeenAt);
      return;
    }
    removeMember(stored);
    const stateHash = computeStateHash(record);
    const member = {record, stateHash, lastSeenAt};
    members.set(record.instanceId, member);
    recentIds = undefined;
    membersByStateHash.set(stateHash, member);
    digest ^= stateHash;
    lastChangeAt = now;
  }

  function markReplaced(incarnation: string): void {
    replacedIncarnations.add(incarnation);
    if (replacedIncarnations.size > MAXIMUM_REPLACED) {
      const [oldest] = replacedIncarnations;
      replacedIncarnations.delete(oldest!);
    }
  }

  function acceptDirect(record: GossipRecord, now: number): boolean {
    const stored = members.get(record.instanceId);
    if (!stored || now - stored.lastSeenAt > computeAliveMs(now)) {
      newSenderAddresses.push(record.gossipAddress);
      lastChangeAt = now;
    }
    if (!stored || isNewer(record, stored)) {
      storeRecord(record, now, now);
      return true;
    }
    const isOtherIncarnation = record.incarnation !== stored.record.incarnation;
    const isReplaced =
      replacedIncarnations.has(record.incarnation) &&
      now - stored.lastSeenAt < LATE_MESSAGE_MS;
    if (isOtherIncarnation && !isReplaced) {
      markReplaced(stored.record.incarnation);
      storeRecord(record, now, now);
      return true;
    }
    return false;
  }

  function acceptRelayed({record, ageMs}: RelayedRecord, now: number): boolean {
    if (record.instanceId === selfId || ageMs > forgetMs) {
      return false;
    }
    const stored = members.get(record.instanceId);
    if (!stored) {
      storeRecord(record, now - ageMs, now);
      return true;
    }
    // Of two incarnations, the one that was heard last is running.
    const isReplacement =
      record.incarnation !== stored.record.incarnation &&
      !replacedIncarnations.has(record.incarnation) &&
      now - ageMs > stored.lastSeenAt;
    if (!isNewer(record, stored) && !isReplacement) {
      return false;
    }
    if (isReplacement) {
      markReplaced(stored.record.incarnation);
    }
    const isChanged = !isSameState(stored.record, record);
    storeRecord(record, Math.max(stored.lastSeenAt, now - ageMs), now);
    return isChanged;
  }

  function removeExpired(now: number): void {
    for (const member of [...members.values()]) {
      if (now - member.lastSeenAt > forgetMs) {
        removeMember(member);
      }
    }
  }

  return {
    acceptDirect: (record, now) =>
      record.instanceId !== selfId && acceptDirect(record, now),
    acceptRelayed,
    acceptLiveness: (entries, now) => {
      livenessReceivedAt = entries.length > 0 ? now : livenessReceivedAt;
      for (const {stateHash, ageMs} of entries) {
        const stored = membersByStateHash.get(stateHash);
        if (stored) {
          stored.lastSeenAt = Math.max(stored.lastSeenAt, now - ageMs);
        }
      }
    },
    listSilent: now =>
      [...members.values()]
        .filter(member => now - member.lastSeenAt > SILENT_MS)
        .map(member => member.stateHash),
    acceptSilent: (stateHashes, now) => {
      livenessReceivedAt = now;
      const silent = new Set(stateHashes);
      for (const member of members.values()) {
        if (!silent.has(member.stateHash)) {
          member.lastSeenAt = Math.max(member.lastSeenAt, now - SILENT_MS);
        }
      }
    },
    listAlive,
    listKnown: () => [...members.values()],
    listRecentIds: now => {
      removeExpired(now);
      recentIds ??= [selfId, ...members.keys()].sort();
      return recentIds;
    },
    findByHash: stateHash => membersByStateHash.get(stateHash),
    findAddress: instanceId => members.get(instanceId)?.record.gossipAddress,
    findHash: instanceId => members.get(instanceId)?.stateHash,
    listHashes: () => [...membersByStateHash.keys()],
    computeDigest: selfHash => (digest ^ selfHash) >>> 0,
    pickMissing: (hashes, now, count, nextFloat) => {
      const known = new Set(hashes);
      const missing = [...members.values()].filter(
        member => !known.has(member.stateHash),
      );
      return pickSample(missing, count, nextFloat).map(member => ({
        record: member.record,
        ageMs: Math.max(0, now - member.lastSeenAt),
      }));
    },
    pickTargets: (count, now, nextFloat) => {
      removeExpired(now);
      const addresses = [...members.values()].map(
        member => member.record.gossipAddress,
      );
      const targets = new Set([
        ...newSenderAddresses.splice(0, NEW_SENDERS_PER_ROUND),
        ...pickSample(addresses, count, nextFloat),
      ]);
      targets.delete(selfAddress);
      return [...targets];
    },
    listUnmatchedSeeds: () => {
      const addresses = new Set(
        [...members.values()].map(member => member.record.gossipAddress),
      );
      return seeds.filter(
        address => address !== selfAddress && !addresses.has(address),
      );
    },
    getLastChangeAt: () => lastChangeAt,
    isIsolated: now => listAlive(now).length < members.size / 2,
    updateSeeds: addresses => {
      seeds = [...addresses];
    },
  };
}
