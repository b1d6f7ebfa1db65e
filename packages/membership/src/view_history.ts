/** History of the views that other instances may still act on. */
import type {Cell, CellMember} from './cells.js';
import type {View} from './view.js';

/** A view and the time at which a newer one replaced it. */
export interface KeptView {
  readonly view: View;
  /** Monotonic time in milliseconds; undefined for the newest view. */
  replacedAt: number | undefined;
}

/** The newest view and those that were replaced recently. */
export interface ViewHistory {
  findNewest(): View | undefined;
  /** Lists the views from oldest to newest. */
  listKept(): readonly KeptView[];
  /** Adds the newest view; returns false if it equals the last one. */
  accept(view: View, now: number): boolean;
  /** Lists the cell of an instance under each kept view that has one. */
  listCellsOfInstance(instanceId: string): Cell[];
  /** Removes views that no instance can act on any more. */
  expire(now: number): void;
}

/** Lists the members of at least one of the cells, each once. */
export function mergeCells(cells: readonly Cell[]): CellMember[] {
  const byHash = new Map<number, CellMember>();
  for (const member of cells.flat()) {
    byHash.set(member.hash, member);
  }
  return [...byHash.values()];
}

/** Lists the members that all cells have in common. */
export function selectCommonMembers(cells: readonly Cell[]): CellMember[] {
  const [first = [], ...others] = cells;
  return first.filter(member =>
    others.every(cell => cell.some(other => other.hash === member.hash)),
  );
}

/** Creates an empty history that keeps replaced views for `keepMs`, in ms. */
export function createViewHistory(keepMs: number): ViewHistory {
  let kept: KeptView[] = [];
  return {
    findNewest: () => kept.at(-1)?.view,
    listKept: () => kept,
    accept: (view, now) => {
      const last = kept.at(-1);
      if (last?.view.hash === view.hash) {
        return false;
      }
      if (last) {
        last.replacedAt = now;
      }
      kept.push({view, replacedAt: undefined});
      return true;
    },
    listCellsOfInstance: instanceId =>
      kept
        .map(({view}) => view.findCellOfInstance(instanceId))
        .filter(cell => cell !== undefined),
    expire: now => {
      kept = kept.filter(
        ({replacedAt}) => replacedAt === undefined || now < replacedAt + keepMs,
      );
    },
  };
}
