/**
 * Determines whose shares may be used for a server. Instances may act on
 * different views while a change spreads; the shares are chosen so that owners
 * under older and newer views together stay within the limit.
 */
import type {Cell, CellMember} from './cells.js';
import {mergeCells, selectCommonMembers} from './view_history.js';
import type {KeptView, ViewHistory} from './view_history.js';

/** Options of {@link createServerShares}. */
export interface ServerSharesOptions {
  history: ViewHistory;
  /** Monotonic start time of this incarnation, in milliseconds. */
  startedAt: number;
  /**
   * Time after which members that can still fetch the list act on no older
   * view, in milliseconds.
   */
  settleMs: number;
  /** Replaces `settleMs` while no majority acts on the newest view. */
  unconfirmedSettleMs: number;
  /** Whether a member acts on the newest view, by its last heartbeat. */
  hasConfirmed: (member: CellMember) => boolean;
}

/** Members whose shares may be used for a server. */
export interface ServerShares {
  /** Members whose quota leases may be used. */
  granters: readonly CellMember[];
  /** Number of equal shares that the limit is divided into. */
  total: number;
}

const NO_SHARES: ServerShares = {granters: [], total: 0};

export interface ServerSharesTable {
  getShares(serverId: string, now: number): ServerShares;
}

export function createServerShares(
  options: ServerSharesOptions,
): ServerSharesTable {
  const {history, startedAt, settleMs, unconfirmedSettleMs, hasConfirmed} =
    options;

  function hasMajority(cell: Cell): boolean {
    return cell.filter(hasConfirmed).length * 2 > cell.length;
  }

  /** Whether no member acts on a view that was replaced at the given time. */
  function isSettled(replacedAt: number, cells: Cell[], now: number): boolean {
    const age = now - replacedAt;
    if (age >= unconfirmedSettleMs) {
      return true;
    }
    return age >= settleMs && cells.every(hasMajority);
  }

  return {
    getShares: (serverId, now) => {
      const newest = history.findNewest()?.findCellOfServer(serverId);
      if (!newest) {
        return NO_SHARES;
      }
      const olderCells = history
        .listKept()
        .slice(0, -1)
        .map(kept => ({kept, cell: kept.view.findCellOfServer(serverId)}))
        .filter((item): item is {kept: KeptView; cell: Cell} => !!item.cell);
      const allMembers =
        olderCells.length === 0
          ? newest
          : mergeCells([newest, ...olderCells.map(({cell}) => cell)]);
      if (allMembers.every(hasConfirmed)) {
        return {granters: newest, total: newest.length};
      }
      // Other members may still act on a view from before this start.
      if (!isSettled(startedAt, [newest], now)) {
        return NO_SHARES;
      }
      const unsettledCells = olderCells
        .filter(
          ({kept, cell}) => !isSettled(kept.replacedAt!, [newest, cell], now),
        )
        .map(({cell}) => cell);
      if (unsettledCells.length === 0) {
        return {granters: newest, total: newest.length};
      }
      return {
        granters: selectCommonMembers([newest, ...unsettledCells]),
        total: mergeCells([newest, ...unsettledCells]).length,
      };
    },
  };
}
