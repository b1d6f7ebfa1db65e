/**
 * Table of the instances that an instance knows by gossip. Pure: it takes
 * messages and the time, and says to whom to send what.
 */

import {hashToUint32, pickSample} from '@buckthornbeam/shared';

/** What an instance says of itself. */
export interface GossipRecord {
  instanceId: string;
  /** Differs for each start of the process. */
  incarnation: string;
  /** Grows with each round of the incarnation. */
  round: number;
  /** `host:port` for gossip. */
  gossipAddress: string;
  /** `host:port` for callers. */
  callerAddress: string;
  dataCentre: string;
  isReady: boolean;
  isLeaving: boolean;
}

/** A record at second hand. */
export interface RelayedRecord {
  record: GossipRecord;
  /** How long ago the sender learnt of this round, in milliseconds. */
  ageMs: number;
}

/**
 * A short form of {@link RelayedRecord} for receivers that know the instance as
 * it is. Others ignore it.
 */
export interface Sighting {
  /** Hash of all that a record says but the round. */
  stateHash: number;
  round: number;
  ageMs: number;
}

/** A known instance other than this one. */
export interface GossipMember {
  record: GossipRecord;
  /** See {@link Sighting}. */
  stateHash: number;
  /** When its newest round was seen, in milliseconds of the local clock. */
  seenAt: number;
}

/** Options of {@link createGossipTable}. */
export interface GossipTableOptions {
  selfId: string;
  /** Addresses to ask first; they may be stale. */
  seedAddresses: readonly string[];
  /** Own gossip address, which is never asked. */
  selfAddress: string;
  /** An instance silent for so long is not alive, in milliseconds. */
  aliveMs?: number;
  /** An instance silent for so long is forgotten, in milliseconds. */
  forgetMs?: number;
}

/** The table. */
export interface GossipTable {
  /** Takes the record of the sender and those that it passes on. */
  receive(
    sender: GossipRecord,
    relayed: readonly RelayedRecord[],
    now: number,
    sightings?: readonly Sighting[],
  ): void;
  /** Instances heard of lately, without this one. */
  listAlive(now: number): GossipMember[];
  /** Identities of all instances not yet forgotten, with this one, sorted. */
  listRecentIds(now: number): string[];
  /** Addresses for a round of gossip. */
  pickTargets(now: number, nextFloat: () => number): string[];
  /** Records to pass on with a message, after changes of the fleet. */
  pickRelayed(now: number, nextFloat: () => number): RelayedRecord[];
  /** Sightings to pass on with a message, where not every round reaches all. */
  pickSightings(now: number, nextFloat: () => number): Sighting[];
  /** Whether every round reaches every instance. */
  isFullMesh(): boolean;
  /** Replaces the seeds after a change of the settings. */
  updateSeeds(addresses: readonly string[]): void;
}

/** Eight rounds of gossip at 250 ms: one lost datagram does not matter. */
const DEFAULT_ALIVE_MS = 2000;
/** News of an instance comes more seldom with each further one, in milliseconds. */
const ALIVE_MS_PER_MEMBER = 25;
/** Longer than a restart of an instance takes. */
const DEFAULT_FORGET_MS = 15_000;
/** Peers for each round; news reaches 400 instances in three rounds. */
const FANOUT = 16;
/** Records passed on with each message; keeps a message in one packet. */
const RELAYED_RECORDS = 6;
/** Sightings passed on with each message; a tenth of the size of a record each. */
const SIGHTINGS = 10;
/**
 * Whole records are passed on so long after an instance came or changed, in
 * milliseconds.
 */
const INTRODUCTION_MS = 5000;
/** Rounds between the messages to seeds that are not known as instances. */
const SEED_ROUNDS = 2;

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

/** Creates a table that knows only the seeds. */
export function createGossipTable(options: GossipTableOptions): GossipTable {
  const {
    selfId,
    selfAddress,
    aliveMs = DEFAULT_ALIVE_MS,
    forgetMs = DEFAULT_FORGET_MS,
  } = options;
  let seeds = [...options.seedAddresses];
  const members = new Map<string, GossipMember>();
  const membersByState = new Map<number, GossipMember>();
  /** Incarnations that a later one has replaced. */
  const retired = new Set<string>();
  /** Addresses that have not had an answer to their first message. */
  let newcomers: string[] = [];
  let lastChangeAt = -Infinity;
  let rounds = 0;

  function computeAliveMs(): number {
    return aliveMs + ALIVE_MS_PER_MEMBER * members.size;
  }

  function isFullMesh(): boolean {
    return members.size <= FANOUT;
  }

  function isNewer(record: GossipRecord, known: GossipMember): boolean {
    return (
      record.incarnation === known.record.incarnation &&
      record.round > known.record.round
    );
  }

  function acceptRecord(record: GossipRecord, seenAt: number): void {
    const known = members.get(record.instanceId);
    const stateHash = computeStateHash(record);
    if (known?.stateHash !== stateHash) {
      lastChangeAt = Math.max(lastChangeAt, seenAt);
    }
    removeMember(known);
    const member = {record, stateHash, seenAt};
    members.set(record.instanceId, member);
    membersByState.set(stateHash, member);
  }

  function removeMember(member: GossipMember | undefined): void {
    if (member) {
      members.delete(member.record.instanceId);
      membersByState.delete(member.stateHash);
    }
  }

  function acceptSighting({stateHash, round, ageMs}: Sighting, now: number) {
    const known = membersByState.get(stateHash);
    if (known && round > known.record.round) {
      known.record = {...known.record, round};
      known.seenAt = Math.max(known.seenAt, now - ageMs);
    }
  }

  function acceptDirect(record: GossipRecord, now: number): void {
    const known = members.get(record.instanceId);
    if (!known) {
      newcomers.push(record.gossipAddress);
    }
    if (!known || isNewer(record, known)) {
      acceptRecord(record, now);
      return;
    }
    const isOther = record.incarnation !== known.record.incarnation;
    if (isOther && !retired.has(record.incarnation)) {
      retired.add(known.record.incarnation);
      acceptRecord(record, now);
    }
  }

  function acceptRelayed({record, ageMs}: RelayedRecord, now: number): void {
    if (record.instanceId === selfId || ageMs > forgetMs) {
      return;
    }
    const known = members.get(record.instanceId);
    if (!known) {
      acceptRecord(record, now - ageMs);
      return;
    }
    // At second hand another incarnation counts only once the known one is silent.
    const isReplacement =
      record.incarnation !== known.record.incarnation &&
      !retired.has(record.incarnation) &&
      now - known.seenAt > computeAliveMs();
    if (isNewer(record, known) || isReplacement) {
      acceptRecord(record, Math.max(known.seenAt, now - ageMs));
    }
  }

  function removeSilent(now: number): void {
    for (const member of [...members.values()]) {
      if (now - member.seenAt > forgetMs) {
        removeMember(member);
      }
    }
  }

  return {
    receive: (sender, relayed, now, sightings = []) => {
      if (sender.instanceId === selfId) {
        return;
      }
      acceptDirect(sender, now);
      for (const item of relayed) {
        acceptRelayed(item, now);
      }
      for (const item of sightings) {
        acceptSighting(item, now);
      }
    },
    listAlive: now => {
      const limit = now - computeAliveMs();
      return [...members.values()].filter(member => member.seenAt >= limit);
    },
    listRecentIds: now => {
      removeSilent(now);
      return [selfId, ...members.keys()].sort();
    },
    pickTargets: (now, nextFloat) => {
      removeSilent(now);
      rounds += 1;
      const known = [...members.values()].map(
        member => member.record.gossipAddress,
      );
      const targets = new Set(pickSample(known, FANOUT, nextFloat));
      newcomers.forEach(address => targets.add(address));
      newcomers = [];
      if (rounds % SEED_ROUNDS === 1) {
        const unknown = seeds.filter(address => !known.includes(address));
        unknown.forEach(address => targets.add(address));
      }
      targets.delete(selfAddress);
      return [...targets];
    },
    pickRelayed: (now, nextFloat) =>
      now - lastChangeAt > INTRODUCTION_MS
        ? []
        : pickSample([...members.values()], RELAYED_RECORDS, nextFloat).map(
            member => ({
              record: member.record,
              ageMs: Math.max(0, now - member.seenAt),
            }),
          ),
    pickSightings: (now, nextFloat) =>
      isFullMesh()
        ? []
        : pickSample([...members.values()], SIGHTINGS, nextFloat).map(
            ({record, stateHash, seenAt}) => ({
              stateHash,
              round: record.round,
              ageMs: Math.max(0, now - seenAt),
            }),
          ),
    isFullMesh,
    updateSeeds: addresses => {
      seeds = [...addresses];
    },
  };
}
