/** Counts the shares that count for a server while views change. */
import type {Cell, CellMember} from './cells.js';
import {mergeCells, selectCommonMembers} from './view_history.js';
import type {KeptView, ViewHistory} from './view_history.js';

/** Options of {@link createServerShares}. */
export interface ServerSharesOptions {
  history: ViewHistory;
  /** Monotonic time of the start, in milliseconds. */
  startedAt: number;
  /** Time after which members that read the list act on no older view. */
  settleMs: number;
  /** As `settleMs`, when no majority confirms the newest view. */
  unconfirmedSettleMs: number;
  /** Whether a member acts on the newest view. */
  hasConfirmed: (member: CellMember) => boolean;
}

/** Members whose shares count for a server. */
export interface ServerShares {
  /** Members whose loans may be used. */
  lenders: readonly CellMember[];
  /** Number of shares that the limit is divided into. */
  total: number;
}

const NO_SHARES: ServerShares = {lenders: [], total: 0};

/** Tells which members' shares count for a server. */
export interface ServerSharesTable {
  getShares(serverId: string, now: number): ServerShares;
}

/** Creates the table over a history of views. */
export function createServerShares(
  options: ServerSharesOptions,
): ServerSharesTable {
  const {history, startedAt, settleMs, unconfirmedSettleMs, hasConfirmed} =
    options;

  function hasMajority(cell: Cell): boolean {
    return cell.filter(hasConfirmed).length * 2 > cell.length;
  }

  /** Whether nobody acts on what was replaced at the given time. */
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
      const old = history
        .listKept()
        .slice(0, -1)
        .map(kept => ({kept, cell: kept.view.findCellOfServer(serverId)}))
        .filter((item): item is {kept: KeptView; cell: Cell} => !!item.cell);
      const known =
        old.length === 0
          ? newest
          : mergeCells([newest, ...old.map(({cell}) => cell)]);
      if (known.every(hasConfirmed)) {
        return {lenders: newest, total: newest.length};
      }
      // What was published before the start may still be acted on.
      if (!isSettled(startedAt, [newest], now)) {
        return NO_SHARES;
      }
      const cells = old
        .filter(
          ({kept, cell}) => !isSettled(kept.replacedAt!, [newest, cell], now),
        )
        .map(({cell}) => cell);
      if (cells.length === 0) {
        return {lenders: newest, total: newest.length};
      }
      return {
        lenders: selectCommonMembers([newest, ...cells]),
        total: mergeCells([newest, ...cells]).length,
      };
    },
  };
}
