/** Packs shortages of capacity for messages between instances. */
import type {ShortageNews} from '@buckthornbeam/decisions';

/** Hash, position, age and hops. */
const ROW_BYTES = 8;
/** Shortages named in one message, the latest of more. */
const MAXIMUM_ROWS = 16;
/** Milliseconds in one unit of a packed age. */
const AGE_UNIT_MS = 10;
const MAXIMUM_UINT8 = 0xff;
const MAXIMUM_UINT16 = 0xffff;

/** Encodes the latest items; ages are rounded up, so that no news get younger. */
export function encodeShortageNews(items: readonly ShortageNews[]): Uint8Array {
  const rows = [...items]
    .sort((a, b) => a.ageMs - b.ageMs)
    .slice(0, MAXIMUM_ROWS);
  const bytes = new Uint8Array(rows.length * ROW_BYTES);
  const view = new DataView(bytes.buffer);
  rows.forEach((item, index) => {
    const offset = index * ROW_BYTES;
    const units = Math.max(0, Math.ceil(item.ageMs / AGE_UNIT_MS));
    view.setUint32(offset, item.serviceHash);
    view.setUint16(
      offset + 4,
      Math.round(item.urgencyPosition * MAXIMUM_UINT16),
    );
    view.setUint8(offset + 6, Math.min(MAXIMUM_UINT8, units));
    view.setUint8(offset + 7, Math.min(MAXIMUM_UINT8, item.hops));
  });
  return bytes;
}

/** Decodes the complete rows. */
export function decodeShortageNews(bytes: Uint8Array): ShortageNews[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  return Array.from(
    {length: Math.floor(bytes.length / ROW_BYTES)},
    (_, index) => {
      const offset = index * ROW_BYTES;
      return {
        serviceHash: view.getUint32(offset),
        urgencyPosition: view.getUint16(offset + 4) / MAXIMUM_UINT16,
        ageMs: view.getUint8(offset + 6) * AGE_UNIT_MS,
        hops: view.getUint8(offset + 7),
      };
    },
  );
}
