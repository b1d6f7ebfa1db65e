/**
 * Cells: bounded groups of members that jointly own backend servers and
 * exchange heartbeats. The membership cost of an instance depends on the size
 * of its cell, not of the fleet.
 */

export interface CellMember {
  readonly id: string;
  /** Key in rendezvous hashing, see {@link hashMember}. */
  readonly hash: number;
}

export type Cell = readonly CellMember[];

/** Larger cells are split if {@link MINIMUM_CELL_SIZE} allows it. */
export const MAXIMUM_CELL_SIZE = 12;

/** A cell is not split if one of the parts would have fewer members. */
const MINIMUM_CELL_SIZE = 4;

const HASH_BITS = 32;

function splitByBit(group: Cell, bit: number): Cell[] {
  if (group.length <= MAXIMUM_CELL_SIZE || bit < 0) {
    return [group];
  }
  const hasBit = (member: CellMember) => ((member.hash >>> bit) & 1) === 1;
  const ones = group.filter(hasBit);
  const zeros = group.filter(member => !hasBit(member));
  if (Math.min(ones.length, zeros.length) < MINIMUM_CELL_SIZE) {
    return splitByBit(group, bit - 1);
  }
  return [...splitByBit(zeros, bit - 1), ...splitByBit(ones, bit - 1)];
}

/**
 * Splits members into cells by the bits of their hashes, highest bit first.
 * Adding or removing one member changes one cell, or splits or merges the cells
 * of one branch of the binary trie.
 */
export function splitIntoCells(members: Cell): Cell[] {
  return splitByBit(members, HASH_BITS - 1);
}
