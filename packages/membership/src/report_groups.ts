/**
 * Report groups: which instances sum up load reports, and for whom. In a small
 * fleet each instance is a group of its own and reports to all others. In a
 * larger one the instances of a data centre form a group, and one of them, its
 * publisher, exchanges the sum of the group with the publishers of the others.
 */
import {rankByRendezvous} from '@buckthornbeam/shared';

/** An instance as far as the grouping needs it. */
export interface GroupMember {
  instanceId: string;
  dataCentre: string;
}

/** Largest fleet whose instances all report to each other. */
export const FULL_MESH_MAXIMUM = 17;

/** Whether a fleet of this number of instances is a full mesh. */
export function isFullMesh(instances: number): boolean {
  return instances <= FULL_MESH_MAXIMUM;
}

/**
 * Counts the instances that place requests by the same loads. In a full mesh each
 * has a view of its own, since the reports of the others arrive one by one; beyond
 * that all place by the totals.
 */
export function countLoadSharers(fleetSize: number): number {
  return isFullMesh(fleetSize) ? 1 : fleetSize;
}

/** Returns the key of the group of an instance in a fleet of this size. */
export function getGroupKey(
  {instanceId, dataCentre}: GroupMember,
  fleetSize: number,
): string {
  return isFullMesh(fleetSize) ? instanceId : dataCentre;
}

/**
 * Lists the ids of the instances of each group, by the group's key.
 * @param fleetSize Known instances, also those that are not alive: a part of a
 *     fleet that is cut off keeps its groups.
 */
export function listGroups(
  members: readonly GroupMember[],
  fleetSize: number,
): Map<string, string[]> {
  const groups = new Map<string, string[]>();
  for (const member of members) {
    const {instanceId} = member;
    const key = getGroupKey(member, fleetSize);
    const group = groups.get(key);
    if (group) {
      group.push(instanceId);
    } else {
      groups.set(key, [instanceId]);
    }
  }
  return groups;
}

/** Ranks the instances of a group as its publisher, first choice first. */
export function rankPublishers(
  groupKey: string,
  instanceIds: readonly string[],
): string[] {
  return rankByRendezvous(`publisher/${groupKey}`, instanceIds);
}
