/**
 * Table of the other instances, maintained by gossip. It performs no I/O: the
 * caller passes in received messages and the time, and sends what it returns.
 */

import {hashToUint32, pickSample} from '@buckthornbeam/shared';

/** An instance as it describes itself in its gossip messages. */
export interface GossipRecord {
  instanceId: string;
  /** Unique for each start of the process. */
  incarnation: string;
  /** Incremented in each gossip round of the incarnation. */
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
  /** Time since the sender learned of this round, in milliseconds. */
  ageMs: number;
}

/**
 * Liveness report: a compact {@link RelayedRecord}. It updates the round of an
 * instance; receivers without a record of the same state hash ignore it.
 */
export interface LivenessReport {
  /** Hash of all fields of the record except `round`. */
  stateHash: number;
  round: number;
  ageMs: number;
}

/** An instance in the table; never this one. */
export interface GossipMember {
  record: GossipRecord;
  /** See {@link LivenessReport}. */
  stateHash: number;
  /** When its newest round arrived, in milliseconds of the local clock. */
  lastSeenAt: number;
}

/** Options of {@link createGossipTable}. */
export interface GossipTableOptions {
  selfId: string;
  /** Gossip addresses to contact at the start; some may be outdated. */
  seedAddresses: readonly string[];
  /** Own gossip address, which is never a target. */
  selfAddress: string;
  /** Time without a new round after which an instance is not alive, in ms. */
  aliveMs?: number;
  /** Time without a new round after which an instance is removed, in ms. */
  forgetMs?: number;
}

export interface GossipTable {
  /** Applies a message: the sender's record and what it relays. */
  receive(
    sender: GossipRecord,
    relayed: readonly RelayedRecord[],
    now: number,
    livenessReports?: readonly LivenessReport[],
  ): void;
  /** Lists the instances with a recent round, without this one. */
  listAlive(now: number): GossipMember[];
  /** Lists the sorted ids of this and all other instances not removed yet. */
  listRecentIds(now: number): string[];
  /** Starts a round and picks the addresses to send its message to. */
  pickTargets(now: number, nextFloat: () => number): string[];
  /** Picks records to relay; none unless the fleet changed recently. */
  pickRelayed(now: number, nextFloat: () => number): RelayedRecord[];
  /** Picks liveness reports to relay; none in a full mesh. */
  pickLivenessReports(now: number, nextFloat: () => number): LivenessReport[];
  /** Whether every round targets every instance. */
  isFullMesh(): boolean;
  /** Replaces the seed addresses after a change of the settings. */
  updateSeeds(addresses: readonly string[]): void;
}

/** Eight gossip rounds of 250 ms, so that a lost datagram is tolerated. */
const DEFAULT_ALIVE_MS = 2000;
/** In larger fleets, updates about one instance arrive less often. */
const ALIVE_MS_PER_MEMBER = 25;
/** Longer than an instance takes to restart. */
const DEFAULT_FORGET_MS = 15_000;
/** Random peers per round; an update reaches 400 instances in three rounds. */
const FANOUT = 16;
/** Small enough to keep a message in one packet. */
const RELAYED_RECORDS_PER_MESSAGE = 6;
/** A liveness report has a tenth of the size of a record. */
const LIVENESS_REPORTS_PER_MESSAGE = 10;
/**
 * Records are relayed for this time after an instance joined or changed;
 * afterwards liveness reports are enough.
 */
const RECORD_RELAY_PERIOD_MS = 5000;
/** Seeds that match no instance in the table are contacted at this interval. */
const SEED_INTERVAL_ROUNDS = 2;

function computeStateHash(record: GossipRecord): number {
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
  const {
    selfId,
    selfAddress,
    aliveMs = DEFAULT_ALIVE_MS,
    forgetMs = DEFAULT_FORGET_MS,
  } = options;
  let seeds = [...options.seedAddresses];
  const members = new Map<string, GossipMember>();
  const membersByStateHash = new Map<number, GossipMember>();
  /** Their late messages are ignored, so as not to undo the replacement. */
  const replacedIncarnations = new Set<string>();
  /** Addresses of new senders, which are targets of the next round. */
  let newSenderAddresses: string[] = [];
  let lastChangeAt = -Infinity;
  let roundCount = 0;

  function computeAliveMs(): number {
    return aliveMs + ALIVE_MS_PER_MEMBER * members.size;
  }

  function isFullMesh(): boolean {
    return members.size <= FANOUT;
  }

  function isNewer(record: GossipRecord, stored: GossipMember): boolean {
    return (
      record.incarnation === stored.record.incarnation &&
      record.round > stored.record.round
    );
  }

  function acceptRecord(record: GossipRecord, lastSeenAt: number): void {
    const stored = members.get(record.instanceId);
    const stateHash = computeStateHash(record);
    if (stored?.stateHash !== stateHash) {
      lastChangeAt = Math.max(lastChangeAt, lastSeenAt);
    }
    removeMember(stored);
    const member = {record, stateHash, lastSeenAt};
    members.set(record.instanceId, member);
    membersByStateHash.set(stateHash, member);
  }

  function removeMember(member: GossipMember | undefined): void {
    if (member) {
      members.delete(member.record.instanceId);
      membersByStateHash.delete(member.stateHash);
    }
  }

  function acceptLivenessReport(
    {stateHash, round, ageMs}: LivenessReport,
    now: number,
  ) {
    const stored = membersByStateHash.get(stateHash);
    if (stored && round > stored.record.round) {
      stored.record = {...stored.record, round};
      stored.lastSeenAt = Math.max(stored.lastSeenAt, now - ageMs);
    }
  }

  function acceptDirect(record: GossipRecord, now: number): void {
    const stored = members.get(record.instanceId);
    if (!stored) {
      newSenderAddresses.push(record.gossipAddress);
    }
    if (!stored || isNewer(record, stored)) {
      acceptRecord(record, now);
      return;
    }
    const isOtherIncarnation = record.incarnation !== stored.record.incarnation;
    if (isOtherIncarnation && !replacedIncarnations.has(record.incarnation)) {
      replacedIncarnations.add(stored.record.incarnation);
      acceptRecord(record, now);
    }
  }

  function acceptRelayed({record, ageMs}: RelayedRecord, now: number): void {
    if (record.instanceId === selfId || ageMs > forgetMs) {
      return;
    }
    const stored = members.get(record.instanceId);
    if (!stored) {
      acceptRecord(record, now - ageMs);
      return;
    }
    // A relayed record of another incarnation may be older than the stored one,
    // so it is used only when the stored one is no longer alive.
    const isReplacement =
      record.incarnation !== stored.record.incarnation &&
      !replacedIncarnations.has(record.incarnation) &&
      now - stored.lastSeenAt > computeAliveMs();
    if (isNewer(record, stored) || isReplacement) {
      acceptRecord(record, Math.max(stored.lastSeenAt, now - ageMs));
    }
  }

  function removeExpired(now: number): void {
    for (const member of [...members.values()]) {
      if (now - member.lastSeenAt > forgetMs) {
        removeMember(member);
      }
    }
  }

  return {
    receive: (sender, relayed, now, livenessReports = []) => {
      if (sender.instanceId === selfId) {
        return;
      }
      acceptDirect(sender, now);
      for (const item of relayed) {
        acceptRelayed(item, now);
      }
      for (const item of livenessReports) {
        acceptLivenessReport(item, now);
      }
    },
    listAlive: now => {
      const oldestAliveAt = now - computeAliveMs();
      return [...members.values()].filter(
        member => member.lastSeenAt >= oldestAliveAt,
      );
    },
    listRecentIds: now => {
      removeExpired(now);
      return [selfId, ...members.keys()].sort();
    },
    pickTargets: (now, nextFloat) => {
      removeExpired(now);
      roundCount += 1;
      const memberAddresses = [...members.values()].map(
        member => member.record.gossipAddress,
      );
      const targets = new Set(pickSample(memberAddresses, FANOUT, nextFloat));
      newSenderAddresses.forEach(address => targets.add(address));
      newSenderAddresses = [];
      if (roundCount % SEED_INTERVAL_ROUNDS === 1) {
        const unmatchedSeeds = seeds.filter(
          address => !memberAddresses.includes(address),
        );
        unmatchedSeeds.forEach(address => targets.add(address));
      }
      targets.delete(selfAddress);
      return [...targets];
    },
    pickRelayed: (now, nextFloat) =>
      now - lastChangeAt > RECORD_RELAY_PERIOD_MS
        ? []
        : pickSample(
            [...members.values()],
            RELAYED_RECORDS_PER_MESSAGE,
            nextFloat,
          ).map(member => ({
            record: member.record,
            ageMs: Math.max(0, now - member.lastSeenAt),
          })),
    pickLivenessReports: (now, nextFloat) =>
      isFullMesh()
        ? []
        : pickSample(
            [...members.values()],
            LIVENESS_REPORTS_PER_MESSAGE,
            nextFloat,
          ).map(({record, stateHash, lastSeenAt}) => ({
            stateHash,
            round: record.round,
            ageMs: Math.max(0, now - lastSeenAt),
          })),
    isFullMesh,
    updateSeeds: addresses => {
      seeds = [...addresses];
    },
  };
}
