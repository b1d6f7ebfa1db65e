/** Keeps the places of an instance among the readers of the store. */
import type {GossipMember, GroupMember} from '@buckthornbeam/membership';
import type {Logger} from '@buckthornbeam/shared';
import {findReaderPlaces} from './store_readers.js';
import type {ReaderPlaces} from './store_readers.js';

/** Options of {@link createReaderRole}. */
export interface ReaderRoleOptions {
  self: GroupMember;
  isLeaving: () => boolean;
  /** Lists the live instances without this one. */
  listAlive: (now: number) => GossipMember[];
  /** Counts the known instances without this one. */
  countKnown: () => number;
  logger: Logger;
}

export interface ReaderRole {
  /** Finds the places of this instance; `now` in milliseconds. */
  findPlaces(now: number): ReaderPlaces;
}

/** The ranking costs a hash for each instance, so it is kept for this time. */
const RANKING_MS = 500;

export function createReaderRole(options: ReaderRoleOptions): ReaderRole {
  const {self, logger} = options;
  let places: ReaderPlaces = {place: 0, groupPlace: 0};
  let rankedAt = -Infinity;
  let isFirst = false;

  function rank(now: number): void {
    const staying = options
      .listAlive(now)
      .filter(({record}) => !record.isLeaving)
      .map(({record}) => record);
    places = findReaderPlaces({
      selfId: self.instanceId,
      candidates: options.isLeaving() ? staying : [self, ...staying],
      fleetSize: options.countKnown() + 1,
    });
    rankedAt = now;
    if (isFirst !== (places.place === 0)) {
      isFirst = places.place === 0;
      logger.info('store_reader', {isFirst, place: places.place});
    }
  }

  return {
    findPlaces: now => {
      if (now - rankedAt >= RANKING_MS) {
        rank(now);
      }
      return places;
    },
  };
}
