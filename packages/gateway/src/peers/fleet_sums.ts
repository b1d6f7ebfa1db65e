/**
 * Sums over the fleet of small numbers by key, such as failures by server: of this
 * instance, and of its peers from their reports, from sums of groups, or from the totals
 * that a publisher sends. Rows travel in the gossip messages that carry loads.
 */

/** Hash of the key, then the summed numbers. */
export type SumRow = readonly [hash: number, ...values: number[]];

/** What gossip needs of the sums. */
export interface FleetSumExchange {
  buildReport(now: number): SumRow[];
  buildGroupSum(now: number): SumRow[];
  buildTotals(now: number): SumRow[];
  receiveReport(instanceId: string, rows: readonly SumRow[], now: number): void;
  receiveGroupSum(groupKey: string, rows: readonly SumRow[], now: number): void;
  receiveTotals(rows: readonly SumRow[], now: number): void;
  /** Drops everything received, after a suspension of the process. */
  clearReceived(): void;
}

export interface FleetSums extends FleetSumExchange {
  /** Returns the sums for a key; undefined if nobody has reported it. */
  find(hash: number, now: number): readonly number[] | undefined;
}

/** Options of {@link createFleetSums}. */
export interface FleetSumsOptions {
  /** Lists the rows of this instance. */
  listOwn: (now: number) => SumRow[];
  /** Age at which received rows are dropped, in milliseconds. */
  lifetimeMs?: number;
}

const DEFAULT_LIFETIME_MS = 1500;
/** Time for which sums are used without being computed again. */
const CACHE_MS = 25;
const HASH_BYTES = 4;
const VALUE_BYTES = 2;
/** Packed values are sixteenths. */
const VALUE_SCALE = 16;
const MAXIMUM_UINT16 = 0xffff;
/** Rows in one message; those with the largest first values are kept. */
const MAXIMUM_ROWS = 40;

interface TimedRows {
  rows: readonly SumRow[];
  at: number;
}

function addRows(
  sums: Map<number, number[]>,
  rows: readonly SumRow[],
  merge: (sum: number, value: number) => number,
): void {
  for (const [hash, ...values] of rows) {
    const sum = sums.get(hash);
    sums.set(
      hash,
      sum ? values.map((value, i) => merge(sum[i] ?? 0, value)) : values,
    );
  }
}

function addValues(sum: number, value: number): number {
  return sum + value;
}

export function createFleetSums({
  listOwn,
  lifetimeMs = DEFAULT_LIFETIME_MS,
}: FleetSumsOptions): FleetSums {
  const reports = new Map<string, TimedRows>();
  const groupSums = new Map<string, TimedRows>();
  let totals: TimedRows | undefined;
  /** Sums of everything, for several decisions in a short time. */
  let cached = new Map<number, number[]>();
  let cachedAt = -Infinity;

  function isFresh({at}: TimedRows, now: number): boolean {
    return now - at <= lifetimeMs;
  }

  function sum(
    sources: ReadonlyArray<Map<string, TimedRows>>,
    now: number,
  ): Map<number, number[]> {
    const sums = new Map<number, number[]>();
    addRows(sums, listOwn(now), addValues);
    for (const source of sources) {
      for (const [key, timed] of source) {
        if (isFresh(timed, now)) {
          addRows(sums, timed.rows, addValues);
        } else {
          source.delete(key);
        }
      }
    }
    return sums;
  }

  function sumAll(now: number): Map<number, number[]> {
    const sums = sum([reports, groupSums], now);
    if (totals && isFresh(totals, now)) {
      // The totals contain an earlier report of this instance.
      addRows(sums, totals.rows, Math.max);
    }
    return sums;
  }

  function listRows(sums: ReadonlyMap<number, number[]>): SumRow[] {
    return [...sums].map(([hash, values]): SumRow => [hash, ...values]);
  }

  return {
    buildReport: listOwn,
    buildGroupSum: now => listRows(sum([reports], now)),
    buildTotals: now => listRows(sum([reports, groupSums], now)),
    receiveReport: (instanceId, rows, now) =>
      void reports.set(instanceId, {rows, at: now}),
    receiveGroupSum: (groupKey, rows, now) =>
      void groupSums.set(groupKey, {rows, at: now}),
    receiveTotals: (rows, now) => {
      totals = {rows, at: now};
    },
    clearReceived: () => {
      reports.clear();
      groupSums.clear();
      totals = undefined;
    },
    find: (hash, now) => {
      if (now < cachedAt || now - cachedAt >= CACHE_MS) {
        cachedAt = now;
        cached = sumAll(now);
      }
      return cached.get(hash);
    },
  };
}

/** Packs rows of equal length; nothing if there are none. */
export function encodeSums(rows: readonly SumRow[]): Uint8Array {
  const kept = [...rows]
    .sort((a, b) => (b[1] ?? 0) - (a[1] ?? 0))
    .slice(0, MAXIMUM_ROWS);
  const values = (kept[0]?.length ?? 1) - 1;
  const rowBytes = HASH_BYTES + values * VALUE_BYTES;
  const bytes = new Uint8Array(kept.length * rowBytes);
  const view = new DataView(bytes.buffer);
  kept.forEach(([hash, ...numbers], index) => {
    const offset = index * rowBytes;
    view.setUint32(offset, hash);
    numbers.forEach((value, i) =>
      view.setUint16(
        offset + HASH_BYTES + i * VALUE_BYTES,
        Math.min(MAXIMUM_UINT16, Math.max(0, Math.round(value * VALUE_SCALE))),
      ),
    );
  });
  return bytes;
}

/** Decodes rows of `values` numbers; an incomplete last row is left out. */
export function decodeSums(bytes: Uint8Array, values: number): SumRow[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const rowBytes = HASH_BYTES + values * VALUE_BYTES;
  return Array.from(
    {length: Math.floor(bytes.length / rowBytes)},
    (_, index): SumRow => [
      view.getUint32(index * rowBytes),
      ...Array.from(
        {length: values},
        (__, i) =>
          view.getUint16(index * rowBytes + HASH_BYTES + i * VALUE_BYTES) /
          VALUE_SCALE,
      ),
    ],
  );
}
