/** Ownership of backend servers by rendezvous hashing. */
import {hashToUint32} from '@buckthornbeam/shared';

/**
 * Hashes a member for rendezvous hashing. Its address is not part of the key,
 * because instances may reach the same peer by different addresses.
 */
export function hashMember(id: string): number {
  return hashToUint32(id);
}

/** Finds the member that owns a server; undefined if there are no members. */
export function findOwnerHash(
  serverId: string,
  memberHashes: readonly number[],
): number | undefined {
  let best: number | undefined;
  let bestWeight = -1;
  for (const memberHash of memberHashes) {
    const weight = hashToUint32(serverId, memberHash);
    const isBetter =
      weight > bestWeight || (weight === bestWeight && memberHash > best!);
    if (isBetter) {
      best = memberHash;
      bestWeight = weight;
    }
  }
  return best;
}

/** Owners by array of member hashes; these arrays are never mutated. */
const ownersByList = new WeakMap<
  readonly number[],
  Map<string, number | undefined>
>();

/** {@link findOwnerHash} with a cache that lives as long as the array. */
export function findCachedOwnerHash(
  serverId: string,
  memberHashes: readonly number[],
): number | undefined {
  let owners = ownersByList.get(memberHashes);
  if (!owners) {
    owners = new Map();
    ownersByList.set(memberHashes, owners);
  }
  if (!owners.has(serverId)) {
    owners.set(serverId, findOwnerHash(serverId, memberHashes));
  }
  return owners.get(serverId);
}

/** Whether two sorted arrays of member hashes are equal. */
export function hasSameMembers(
  a: readonly number[],
  b: readonly number[],
): boolean {
  return a.length === b.length && a.every((item, index) => item === b[index]);
}
