/** Packs what servers stated about their request rate, with ages for times. */

/** What an answer of a server stated, or a peer passed on. */
export interface LimitNews {
  /** Hash of the life of the server. */
  serverHash: number;
  /** Undefined if the limit has ended. */
  requestsPerSecond: number | undefined;
  /** Times since the request was sent and since the head arrived, in milliseconds. */
  sentAgeMs: number;
  headAgeMs: number;
  /** Number of times that it was passed on. */
  hops: number;
}

/** Hash, rate, two ages and hops. */
const ROW_BYTES = 17;
/** Servers named in one message. */
const MAXIMUM_ROWS = 20;
/** Stands for a limit that has ended. */
const NO_RATE = -1;
/** Milliseconds in one unit of a packed age. */
const AGE_UNIT_MS = 10;
const MAXIMUM_UINT16 = 0xffff;

function encodeAge(ageMs: number): number {
  return Math.min(MAXIMUM_UINT16, Math.max(0, Math.round(ageMs / AGE_UNIT_MS)));
}

/** Encodes the newest items. */
export function encodeLimitNews(items: readonly LimitNews[]): Uint8Array {
  const rows = [...items]
    .sort((a, b) => a.headAgeMs - b.headAgeMs)
    .slice(0, MAXIMUM_ROWS);
  const bytes = new Uint8Array(rows.length * ROW_BYTES);
  const view = new DataView(bytes.buffer);
  rows.forEach((item, index) => {
    const offset = index * ROW_BYTES;
    view.setUint32(offset, item.serverHash);
    view.setFloat64(offset + 4, item.requestsPerSecond ?? NO_RATE);
    view.setUint16(offset + 12, encodeAge(item.sentAgeMs));
    view.setUint16(offset + 14, encodeAge(item.headAgeMs));
    view.setUint8(offset + 16, item.hops);
  });
  return bytes;
}

/** Decodes the rows that are valid; an incomplete last row is left out. */
export function decodeLimitNews(bytes: Uint8Array): LimitNews[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const items: LimitNews[] = [];
  for (
    let offset = 0;
    offset + ROW_BYTES <= bytes.length;
    offset += ROW_BYTES
  ) {
    const rate = view.getFloat64(offset + 4);
    if (Number.isFinite(rate) && (rate >= 0 || rate === NO_RATE)) {
      items.push({
        serverHash: view.getUint32(offset),
        requestsPerSecond: rate === NO_RATE ? undefined : rate,
        sentAgeMs: view.getUint16(offset + 12) * AGE_UNIT_MS,
        headAgeMs: view.getUint16(offset + 14) * AGE_UNIT_MS,
        hops: view.getUint8(offset + 16),
      });
    }
  }
  return items;
}
