/**
 * Ranks the instances as readers of the store. The first reads it for all; each
 * further one stands in if those before it do not. The first of each report group
 * come first: what they read reaches the others with the fewest hops.
 */
import {listGroups, rankPublishers} from '@buckthornbeam/membership';
import type {GroupMember} from '@buckthornbeam/membership';
import {rankByRendezvous} from '@buckthornbeam/shared';

/** Options of {@link findReaderPlaces}. */
export interface ReaderPlacesOptions {
  selfId: string;
  /** Live instances that are not leaving, including this one. */
  candidates: readonly GroupMember[];
  /** Known instances, also those that are not alive. */
  fleetSize: number;
}

/** Places of an instance, counted from 0. */
export interface ReaderPlaces {
  place: number;
  /** Place among the instances of the same report group. */
  groupPlace: number;
}

const READERS_KEY = 'store-readers';

/** Finds the places of an instance; behind all others if it is no candidate. */
export function findReaderPlaces({
  selfId,
  candidates,
  fleetSize,
}: ReaderPlacesOptions): ReaderPlaces {
  const groups = listGroups(candidates, fleetSize);
  const rankedGroups = rankByRendezvous(READERS_KEY, [...groups.keys()]).map(
    key => rankPublishers(key, groups.get(key)!),
  );
  const own = rankedGroups.find(ids => ids.includes(selfId));
  if (!own) {
    return {place: candidates.length, groupPlace: candidates.length};
  }
  const groupPlace = own.indexOf(selfId);
  let place = 0;
  for (const ids of rankedGroups) {
    // Of a group that comes before the own one, the same place is taken earlier.
    const isBefore = rankedGroups.indexOf(ids) < rankedGroups.indexOf(own);
    place += Math.min(ids.length, groupPlace + (isBefore ? 1 : 0));
  }
  return {place, groupPlace};
}
