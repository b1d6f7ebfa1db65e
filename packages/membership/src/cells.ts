/**
 * Cells: bounded groups of members that own backend servers together and
 * exchange heartbeats. The size of a cell, not of the fleet, sets the cost of
 * membership for one instance.
 */

/** A member of a cell. */
export interface CellMember {
  readonly id: string;
  /** Identity in ownership, see {@link hashMember}. */
  readonly hash: number;
}

/** Members of one cell. */
export type Cell = readonly CellMember[];

/** Largest number of members of a cell. */
export const MAXIMUM_CELL_SIZE = 12;

/** No split leaves a cell with fewer members. */
const MINIMUM_CELL_SIZE = 4;

const HASH_BITS = 32;

function splitByBit(group: Cell, bit: number): Cell[] {
  if (group.length <= MAXIMUM_CELL_SIZE || bit < 0) {
    return [group];
  }
  const isOne = (member: CellMember) => ((member.hash >>> bit) & 1) === 1;
  const ones = group.filter(isOne);
  const zeros = group.filter(member => !isOne(member));
  if (Math.min(ones.length, zeros.length) < MINIMUM_CELL_SIZE) {
    return splitByBit(group, bit - 1);
  }
  return [...splitByBit(zeros, bit - 1), ...splitByBit(ones, bit - 1)];
}

/**
 * Splits members into cells by the bits of their hashes. A change of one
 * member changes one cell, or splits or joins the cells of one branch.
 */
export function splitIntoCells(members: Cell): Cell[] {
  return splitByBit(members, HASH_BITS - 1);
}
