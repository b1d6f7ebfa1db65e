/** The views that other instances may still be acting on. */
import type {Cell, CellMember} from './cells.js';
import type {View} from './view.js';

/** A view and the time at which a newer one replaced it. */
export interface KeptView {
  readonly view: View;
  /** Monotonic milliseconds; undefined for the newest view. */
  replacedAt: number | undefined;
}

/** The newest view and those that it replaced a short time ago. */
export interface ViewHistory {
  findNewest(): View | undefined;
  /** Views from the oldest to the newest. */
  listKept(): readonly KeptView[];
  /** Takes a view as the newest; returns whether it differs from the last. */
  accept(view: View, now: number): boolean;
  /** Cells of an instance under every view kept. */
  listCellsOfInstance(instanceId: string): Cell[];
  /** Forgets views that nobody can act on any more. */
  expire(now: number): void;
}

/** Lists the members that are in at least one of the cells. */
export function mergeCells(cells: readonly Cell[]): CellMember[] {
  const byHash = new Map<number, CellMember>();
  for (const member of cells.flat()) {
    byHash.set(member.hash, member);
  }
  return [...byHash.values()];
}

/** Lists the members that are in all of the cells. */
export function selectCommonMembers(cells: readonly Cell[]): CellMember[] {
  const [first = [], ...others] = cells;
  return first.filter(member =>
    others.every(cell => cell.some(other => other.hash === member.hash)),
  );
}

/** Creates an empty history that keeps replaced views for `keepMs`. */
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
