/** Packs what customers asked for and got, while capacity is scarce. */
import type {CustomerRow} from '@buckthornbeam/decisions';

/** Customers that compete for the scarce capacity of a service in one rank. */
export interface RankNews {
  /** Hash of the service and the rank. */
  rankHash: number;
  /** Time since a request of the rank was refused or had to wait, in milliseconds. */
  scarceAgeMs: number;
  rows: readonly CustomerRow[];
}

/** Hash, age and number of rows. */
const HEAD_BYTES = 6;
/** Hash and three rates of 10 bits. */
const ROW_BYTES = 8;
/** Rows in one message; the customers that ask for the least are left out beyond it. */
const MAXIMUM_ROWS = 48;
/** Milliseconds in one unit of a packed age. */
const AGE_UNIT_MS = 10;
const MAXIMUM_UINT8 = 0xff;
const RATE_BITS = 10;
const MAXIMUM_PACKED_RATE = 2 ** RATE_BITS - 1;
/** Rates are packed as logarithms, from half a token to ten million tokens a second. */
const MINIMUM_RATE = 0.5;
const RATE_STEP = 1.0166;

function encodeRate(rate: number): number {
  if (rate < MINIMUM_RATE) {
    return 0;
  }
  const steps = Math.round(Math.log(rate / MINIMUM_RATE) / Math.log(RATE_STEP));
  return Math.min(MAXIMUM_PACKED_RATE, 1 + steps);
}

function decodeRate(packed: number): number {
  return packed === 0 ? 0 : MINIMUM_RATE * RATE_STEP ** (packed - 1);
}

/** Selects the ranks that fit, the newest shortage first. */
function selectRanks(news: readonly RankNews[]): RankNews[] {
  let remaining = MAXIMUM_ROWS;
  return [...news]
    .sort((a, b) => a.scarceAgeMs - b.scarceAgeMs)
    .flatMap(rank => {
      const rows = [...rank.rows]
        .sort((a, b) => b.offered - a.offered)
        .slice(0, remaining);
      remaining -= rows.length;
      return rows.length > 0 ? [{...rank, rows}] : [];
    });
}

export function encodeCustomerNews(news: readonly RankNews[]): Uint8Array {
  const ranks = selectRanks(news);
  const bytes = new Uint8Array(
    ranks.reduce(
      (sum, {rows}) => sum + HEAD_BYTES + rows.length * ROW_BYTES,
      0,
    ),
  );
  const view = new DataView(bytes.buffer);
  let offset = 0;
  for (const {rankHash, scarceAgeMs, rows} of ranks) {
    // Rounded up: an age that is passed on in a circle must not fall.
    const age = Math.ceil(scarceAgeMs / AGE_UNIT_MS);
    view.setUint32(offset, rankHash);
    view.setUint8(offset + 4, Math.min(MAXIMUM_UINT8, age));
    view.setUint8(offset + 5, rows.length);
    offset += HEAD_BYTES;
    for (const {customerHash, offered, served, usual} of rows) {
      const rates = [offered, served, usual].map(encodeRate);
      view.setUint32(offset, customerHash);
      view.setUint32(
        offset + 4,
        rates.reduce((packed, rate) => packed * 2 ** RATE_BITS + rate, 0),
      );
      offset += ROW_BYTES;
    }
  }
  return bytes;
}

function decodeRow(view: DataView, offset: number): CustomerRow {
  const packed = view.getUint32(offset + 4);
  const readRate = (place: number) =>
    decodeRate((packed >>> (place * RATE_BITS)) & MAXIMUM_PACKED_RATE);
  return {
    customerHash: view.getUint32(offset),
    offered: readRate(2),
    served: readRate(1),
    usual: readRate(0),
  };
}

/** Decodes the ranks that are complete. */
export function decodeCustomerNews(bytes: Uint8Array): RankNews[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const news: RankNews[] = [];
  let offset = 0;
  while (offset + HEAD_BYTES <= bytes.length) {
    const count = view.getUint8(offset + 5);
    const rowsAt = offset + HEAD_BYTES;
    const endsAt = rowsAt + count * ROW_BYTES;
    if (endsAt > bytes.length) {
      break;
    }
    news.push({
      rankHash: view.getUint32(offset),
      scarceAgeMs: view.getUint8(offset + 4) * AGE_UNIT_MS,
      rows: Array.from({length: count}, (_, index) =>
        decodeRow(view, rowsAt + index * ROW_BYTES),
      ),
    });
    offset = endsAt;
  }
  return news;
}
