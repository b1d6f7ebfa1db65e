/**
 * Table of the instances that an instance knows by gossip. Pure: it takes
 * messages and the time, and says to whom to send what.
 */

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
  pickTargets(now: number, nextInt: (bound: number) => number): string[];
  /** Records to pass on with a message. */
  pickRelayed(now: number, nextInt: (bound: number) => number): RelayedRecord[];
  /** Replaces the seeds after a change of the settings. */
  updateSeeds(addresses: readonly string[]): void;
}

/** Four rounds of gossip at 500 ms: one lost datagram does not matter. */
const DEFAULT_ALIVE_MS = 2000;
/** Longer than a restart of an instance takes. */
const DEFAULT_FORGET_MS = 15_000;
/** Peers for each round; news reaches 400 instances in three rounds. */
const FANOUT = 10;
/** Records passed on with each message; keeps a message in one packet. */
const RELAYED_RECORDS = 4;
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
  let rounds = 0;

  function isNewer(record: GossipRecord, known: GossipMember): boolean {
    return (
      record.incarnation === known.record.incarnation &&
      record.round > known.record.round
    );
  }

  function acceptRecord(record: GossipRecord, seenAt: number): void {
    members.set(record.instanceId, {record, seenAt});
  }

  function acceptDirect(record: GossipRecord, now: number): void {
    const known = members.get(record.instanceId);
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
      now - known.seenAt > aliveMs;
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

  function pickSome<T>(
    items: readonly T[],
    count: number,
    nextInt: (bound: number) => number,
  ): T[] {
    const rest = [...items];
    const picked: T[] = [];
    while (rest.length > 0 && picked.length < count) {
      picked.push(...rest.splice(nextInt(rest.length), 1));
    }
    return picked;
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
    listAlive: now =>
      [...members.values()].filter(member => now - member.seenAt <= aliveMs),
    listRecentIds: now => {
      removeSilent(now);
      return [selfId, ...members.keys()].sort();
    },
    pickTargets: (now, nextInt) => {
      removeSilent(now);
      rounds += 1;
      const known = [...members.values()].map(
        member => member.record.gossipAddress,
      );
      const targets = new Set(pickSome(known, FANOUT, nextInt));
      if (rounds % SEED_ROUNDS === 1) {
        const unknown = seeds.filter(address => !known.includes(address));
        unknown.forEach(address => targets.add(address));
      }
      targets.delete(selfAddress);
      return [...targets];
    },
    pickRelayed: (now, nextInt) =>
      pickSome([...members.values()], RELAYED_RECORDS, nextInt).map(member => ({
        record: member.record,
        ageMs: Math.max(0, now - member.seenAt),
      })),
    updateSeeds: addresses => {
      seeds = [...addresses];
    },
  };
}
