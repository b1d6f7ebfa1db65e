/** Ownership of backend servers by rendezvous hashing. */
import {hashToUint32} from '@buckthornbeam/shared';

/**
 * Identity of a member in ownership. The address is left out: instances may
 * reach one peer by different addresses.
 */
export function hashMember(id: string): number {
  return hashToUint32(id);
}

/** Finds the member that a server falls to; undefined without members. */
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

/** Owners by list of members; lists of member hashes are never changed. */
const ownersByList = new WeakMap<
  readonly number[],
  Map<string, number | undefined>
>();

/** As {@link findOwnerHash}, remembered for as long as the list is in use. */
export function findKnownOwnerHash(
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

/** Whether two sorted lists of member hashes are equal. */
export function hasSameMembers(
  a: readonly number[],
  b: readonly number[],
): boolean {
  return a.length === b.length && a.every((item, index) => item === b[index]);
}
