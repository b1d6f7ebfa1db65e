/** Cache locations, changed records and quarantine news that a publisher passes on. */
import {
  LOCATIONS_PER_MESSAGE,
  createUpdateQueue,
} from '@buckthornbeam/decisions';
import type {QuarantineNews, UpdateQueue} from '@buckthornbeam/decisions';
import type {GossipRecord, GossipTable} from '@buckthornbeam/membership';
import type {GossipMessage} from './gossip_message.js';
import {encodeNews} from './quarantine_news.js';

/** What a message passes on. */
type RelayedContent = Pick<
  GossipMessage,
  'cacheLocations' | 'relayed' | 'quarantineNews'
>;

/** What an instance learned from a message, or by itself. */
export interface LearnedContent {
  locations: readonly number[];
  news: readonly QuarantineNews[];
}

export interface RelayQueues {
  /** Adds what was learned in the own group, for all instances. */
  addFromMember(learned: LearnedContent, sender?: GossipRecord): void;
  /** Adds what was learned from another group, for the own group. */
  addFromGroup(
    learned: LearnedContent,
    sender: GossipRecord,
    changedIds: readonly string[],
  ): void;
  /** Takes the content of the next message to the other groups. */
  takeForGroups(now: number): RelayedContent;
  /** Takes the content of the next message to the own group. */
  takeForMembers(now: number): RelayedContent;
}

/** Changed records that are piggybacked on a message. */
const RECORDS_PER_MESSAGE = 5;
/** Changed records that wait; of more, the hellos inform the others. */
const MAXIMUM_WAITING_RECORDS = 40;
/** Items of quarantine news in a message, and items that wait. */
export const NEWS_PER_MESSAGE = 12;
export const MAXIMUM_WAITING_NEWS = 500;

interface RelayQueue {
  locations: UpdateQueue<number>;
  /** Ids of instances. */
  records: UpdateQueue<string>;
  news: UpdateQueue<QuarantineNews>;
}

export function createRelayQueues(table: GossipTable): RelayQueues {
  const toGroups = createQueue();
  const toMembers = createQueue();
  /** State hashes of the records that were passed on, by instance. */
  const passedHashes = new Map<string, number>();

  function createQueue(): RelayQueue {
    return {
      locations: createUpdateQueue({
        // Two copies would halve the rate; the sender repeats a lost location.
        copies: 1,
        maximumTaken: LOCATIONS_PER_MESSAGE,
      }),
      records: createUpdateQueue({
        maximumTaken: RECORDS_PER_MESSAGE,
        maximumWaiting: MAXIMUM_WAITING_RECORDS,
        takesNewest: true,
      }),
      news: createUpdateQueue({
        maximumTaken: NEWS_PER_MESSAGE,
        maximumWaiting: MAXIMUM_WAITING_NEWS,
      }),
    };
  }

  /**
   * Lists the sender if its record was not passed on yet. The record may have
   * reached the table before, in a hello.
   */
  function listUnpassed({instanceId}: GossipRecord): string[] {
    const stateHash = table.findHash(instanceId);
    if (stateHash === undefined || passedHashes.get(instanceId) === stateHash) {
      return [];
    }
    passedHashes.set(instanceId, stateHash);
    return [instanceId];
  }

  function removeForgotten(): void {
    for (const id of [...passedHashes.keys()]) {
      if (table.findHash(id) === undefined) {
        passedHashes.delete(id);
      }
    }
  }

  function take(
    {locations, records, news}: RelayQueue,
    now: number,
  ): RelayedContent {
    const ids = new Set(records.take());
    const members = ids.size > 0 ? table.listAlive(now) : [];
    return {
      cacheLocations: locations.take(),
      quarantineNews: encodeNews(news.take(), now),
      relayed: members
        .filter(({record}) => ids.has(record.instanceId))
        .map(({record, lastSeenAt}) => ({
          record,
          ageMs: Math.max(0, now - lastSeenAt),
        })),
    };
  }

  return {
    addFromMember: ({locations, news}, sender) => {
      const ids = sender ? listUnpassed(sender) : [];
      for (const queue of [toGroups, toMembers]) {
        queue.locations.add(locations);
        queue.records.add(ids);
        queue.news.add(news);
      }
    },
    addFromGroup: ({locations, news}, sender, changedIds) => {
      toMembers.locations.add(locations);
      toMembers.news.add(news);
      toMembers.records.add([...listUnpassed(sender), ...changedIds]);
    },
    takeForGroups: now => {
      removeForgotten();
      return take(toGroups, now);
    },
    takeForMembers: now => take(toMembers, now),
  };
}
