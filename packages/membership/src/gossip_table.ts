/**
 * Table of the instances that an instance knows by gossip. Pure: it takes
 * messages and the time, and says to whom to send what.
 */

import {pickSample} from '@buckthornbeam/shared';

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

/** A known instance other than this one. */
export interface GossipMember {
  record: GossipRecord;
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
  ): void;
  /** Instances heard of lately, without this one. */
  listAlive(now: number): GossipMember[];
  /** Identities of all instances not yet forgotten, with this one, sorted. */
  listRecentIds(now: number): string[];
  /** Addresses for a round of gossip. */
  pickTargets(now: number, nextFloat: () => number): string[];
  /** Records to pass on with a message. */
  pickRelayed(now: number, nextFloat: () => number): RelayedRecord[];
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
/**
 * In a fleet where every round reaches everybody, records are passed on only so
 * long after an instance came, in milliseconds.
 */
const INTRODUCTION_MS = 5000;
/** Rounds between the messages to seeds that are not known as instances. */
const SEED_ROUNDS = 2;

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
  /** Incarnations that a later one has replaced. */
  const retired = new Set<string>();
  /** Addresses that have not had an answer to their first message. */
  let newcomers: string[] = [];
  let lastArrivalAt = -Infinity;
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
    if (!members.has(record.instanceId)) {
      lastArrivalAt = Math.max(lastArrivalAt, seenAt);
    }
    members.set(record.instanceId, {record, seenAt});
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
    for (const [id, member] of members) {
      if (now - member.seenAt > forgetMs) {
        members.delete(id);
      }
    }
  }

  return {
    receive: (sender, relayed, now) => {
      if (sender.instanceId === selfId) {
        return;
      }
      acceptDirect(sender, now);
      for (const item of relayed) {
        acceptRelayed(item, now);
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
      isFullMesh() && now - lastArrivalAt > INTRODUCTION_MS
        ? []
        : pickSample([...members.values()], RELAYED_RECORDS, nextFloat).map(
            member => ({
              record: member.record,
              ageMs: Math.max(0, now - member.seenAt),
            }),
          ),
    isFullMesh,
    updateSeeds: addresses => {
      seeds = [...addresses];
    },
  };
}
