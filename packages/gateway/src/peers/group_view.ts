/**
 * The report groups as one instance sees them: who belongs to its group, whether
 * it publishes, and which instances publish the loads of the groups.
 */
import {
  getGroupKey,
  listGroups,
  rankPublishers,
} from '@buckthornbeam/membership';
import type {
  GossipMember,
  GossipRecord,
  GossipTable,
} from '@buckthornbeam/membership';
import {pickSample} from '@buckthornbeam/shared';
import {createPublisherRole} from './publisher_role.js';
import type {PublisherRole} from './publisher_role.js';

/** Options of {@link createGroupView}. */
export interface GroupViewOptions {
  table: GossipTable;
  describeSelf: () => Omit<GossipRecord, 'round'>;
  /** Returns a number in [0, 1). */
  random: () => number;
}

export interface GroupView {
  readonly role: PublisherRole;
  /** Forms the groups again if the fleet may have changed; once in a round. */
  startRound(now: number): void;
  /** Forms the groups again. */
  update(now: number): void;
  getOwnKey(): string;
  /** Whether there is another group with this key. */
  hasOther(groupKey: string): boolean;
  listOtherKeys(): string[];
  /** Lists the live instances of the own group without this one. */
  listPeers(now: number): GossipMember[];
  /** Lists the peers that forward the totals to the others. */
  pickForwarders(peers: readonly GossipMember[], now: number): GossipMember[];
  /** Records that an instance published the load of a group. */
  recordPublisher(groupKey: string, instanceId: string, now: number): void;
  /** Whether a publisher of the own group was heard recently. */
  isPublisherHeard(now: number): boolean;
  /** Lists the ids of the instances that get the sum of the own group. */
  listSumTargets(now: number): string[];
  /** Lists the ids of the instances that get the next report. */
  listReportTargets(now: number): string[];
  /** Waits for publishers again, after a suspension of the process. */
  reset(now: number): void;
}

interface Publisher {
  id: string;
  heardAt: number;
}

/** Rounds after which the groups are formed again without a change. */
const GROUP_ROUNDS = 4;
/** Rounds after which other instances forward the totals. */
const FORWARDER_ROUNDS = 4;
/** An instance heard this recently may forward; its next report is due before. */
const FORWARDER_HEARD_MS = 1500;
/** A publisher that was heard this recently is the current one of its group. */
const PUBLISHER_HEARD_MS = 1200;
/** Instances of a group that get messages while none of its publishers is heard. */
const LIKELY_PUBLISHERS = 2;
/** Interval of the reports that the next publisher in rank gets as well. */
const STANDBY_INTERVAL_MS = 1000;

export function createGroupView({
  table,
  describeSelf,
  random,
}: GroupViewOptions): GroupView {
  const selfId = describeSelf().instanceId;
  const role = createPublisherRole({selfId});
  /** Last publisher heard of each group, by the key of the group. */
  const publishers = new Map<string, Publisher>();
  /** Ids of the live instances, and of all known ones, by group. */
  let aliveGroups = new Map<string, string[]>();
  let knownGroups = new Map<string, string[]>();
  let ownKey = selfId;
  /** Last change of the records that the groups contain. */
  let groupedChangeAt = -Infinity;
  let roundCount = 0;
  let forwarderIds = new Set<string>();
  let standbyReportedAt = -Infinity;

  function update(now: number): void {
    groupedChangeAt = table.getLastChangeAt();
    const self = describeSelf();
    const alive = table.listAlive(now).map(({record}) => record);
    const known = table.listKnown().map(({record}) => record);
    const fleetSize = known.length + 1;
    aliveGroups = listGroups([self, ...alive], fleetSize);
    knownGroups = listGroups([self, ...known], fleetSize);
    ownKey = getGroupKey(self, fleetSize);
    const leavingIds = new Set(
      [self, ...alive]
        .filter(record => record.isLeaving)
        .map(record => record.instanceId),
    );
    const ownIds = aliveGroups.get(ownKey) ?? [];
    const stayingIds = ownIds.filter(id => !leavingIds.has(id));
    role.update({
      groupKey: ownKey,
      candidates: stayingIds.length > 0 ? stayingIds : ownIds,
      now,
    });
  }

  function isHeard(groupKey: string, now: number): boolean {
    const publisher = publishers.get(groupKey);
    return (
      publisher !== undefined && now - publisher.heardAt < PUBLISHER_HEARD_MS
    );
  }

  /**
   * Lists the likely publishers of a group of which none is heard. This instance
   * may have been cut off, so that some which it holds for lost are included.
   */
  function listLikelyPublishers(groupKey: string): string[] {
    const ranked = [aliveGroups, knownGroups].map(groups =>
      rankPublishers(groupKey, groups.get(groupKey) ?? [])
        .filter(id => id !== selfId)
        .slice(0, LIKELY_PUBLISHERS),
    );
    return [...new Set(ranked.flat())];
  }

  function listOtherKeys(): string[] {
    return [...knownGroups.keys()].filter(key => key !== ownKey);
  }

  return {
    role,
    startRound: now => {
      roundCount += 1;
      if (
        roundCount % GROUP_ROUNDS === 1 ||
        table.getLastChangeAt() !== groupedChangeAt
      ) {
        update(now);
      }
    },
    update,
    getOwnKey: () => ownKey,
    hasOther: groupKey => groupKey !== ownKey && knownGroups.has(groupKey),
    listOtherKeys,
    listPeers: now => {
      const ids = new Set(aliveGroups.get(ownKey));
      return table
        .listAlive(now)
        .filter(({record}) => ids.has(record.instanceId));
    },
    pickForwarders: (peers, now) => {
      const isDue = roundCount % FORWARDER_ROUNDS === 0;
      if (isDue || forwarderIds.size === 0) {
        const heard = peers.filter(
          ({lastSeenAt}) => now - lastSeenAt < FORWARDER_HEARD_MS,
        );
        const count = Math.ceil(Math.sqrt(peers.length));
        const picked = pickSample(heard, count, random);
        forwarderIds = new Set(picked.map(({record}) => record.instanceId));
      }
      return peers.filter(({record}) => forwarderIds.has(record.instanceId));
    },
    recordPublisher: (groupKey, id, now) => {
      publishers.set(groupKey, {id, heardAt: now});
    },
    isPublisherHeard: now => isHeard(ownKey, now),
    listSumTargets: now =>
      listOtherKeys().flatMap(key =>
        isHeard(key, now)
          ? [publishers.get(key)!.id]
          : listLikelyPublishers(key),
      ),
    listReportTargets: now => {
      if (!isHeard(ownKey, now)) {
        return listLikelyPublishers(ownKey);
      }
      const current = publishers.get(ownKey)!.id;
      const standby = role
        .listRanked()
        .find(id => id !== selfId && id !== current);
      if (!standby || now - standbyReportedAt < STANDBY_INTERVAL_MS) {
        return [current];
      }
      standbyReportedAt = now;
      return [current, standby];
    },
    reset: now => {
      publishers.clear();
      role.reset(now);
    },
  };
}
