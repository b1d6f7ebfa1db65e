/** Packs quarantine news into unsigned 32-bit integers, with ages for times. */
import type {QuarantineNews} from '@buckthornbeam/decisions';

/** Position of the kind in this list is its code. */
const KINDS = ['crash', 'answer', 'entry'] as const;

/**
 * The first integer of an item: kind (2 bits), flag (1 bit), number of integers
 * that follow (7 bits) and age in units (22 bits).
 */
const KIND_SHIFT = 30;
const FLAG_SHIFT = 29;
const LENGTH_SHIFT = 22;
const MAXIMUM_LENGTH = 0x7f;
const AGE_MASK = 0x3fffff;
/** Milliseconds in a unit of an age. */
const AGE_UNIT_MS = 4;
/** Server, request and customer of a crash. */
const CRASH_FIELDS = 3;
/** Relapses and number of customers of an entry. */
const ENTRY_FIELDS = 2;

interface PackedItem {
  kind: QuarantineNews['kind'];
  flag: boolean;
  ageMs: number;
  values: readonly number[];
}

function encodeItem({kind, flag, ageMs, values}: PackedItem): number[] {
  const age = Math.min(AGE_MASK, Math.max(0, Math.round(ageMs / AGE_UNIT_MS)));
  const head =
    KINDS.indexOf(kind) * 2 ** KIND_SHIFT +
    (flag ? 2 ** FLAG_SHIFT : 0) +
    values.length * 2 ** LENGTH_SHIFT +
    age;
  return [head, ...values];
}

const encoders: {
  [Kind in QuarantineNews['kind']]: (
    item: Extract<QuarantineNews, {kind: Kind}>,
    now: number,
  ) => PackedItem;
} = {
  crash: (item, now) => ({
    kind: item.kind,
    flag: item.hasBegun,
    ageMs: now - item.at,
    values: [
      item.serverHash,
      item.requestHash,
      item.customerHash,
      ...item.blockHashes,
    ],
  }),
  answer: (item, now) => ({
    kind: item.kind,
    flag: false,
    ageMs: now - item.at,
    values: item.blockHashes,
  }),
  entry: (item, now) => ({
    kind: item.kind,
    flag: false,
    ageMs: now - item.crashedAt,
    values: [
      item.relapses,
      item.customerHashes.length,
      ...item.customerHashes,
      ...item.blockHashes,
    ],
  }),
};

type Decoder = (
  values: readonly number[],
  at: number,
  flag: boolean,
) => QuarantineNews | undefined;

const decoders: Record<QuarantineNews['kind'], Decoder> = {
  crash: (values, at, hasBegun) =>
    values.length > CRASH_FIELDS
      ? {
          kind: 'crash',
          serverHash: values[0]!,
          requestHash: values[1]!,
          customerHash: values[2]!,
          blockHashes: values.slice(CRASH_FIELDS),
          hasBegun,
          at,
        }
      : undefined,
  answer: (blockHashes, at) =>
    blockHashes.length > 0 ? {kind: 'answer', blockHashes, at} : undefined,
  entry: (values, at) => {
    const [relapses = 0, customers = 0] = values;
    const blocksFrom = ENTRY_FIELDS + customers;
    return values.length > blocksFrom
      ? {
          kind: 'entry',
          relapses,
          customerHashes: values.slice(ENTRY_FIELDS, blocksFrom),
          blockHashes: values.slice(blocksFrom),
          crashedAt: at,
        }
      : undefined;
  },
};

/** Packs news; an item with too many blocks is left out. */
export function encodeNews(
  news: readonly QuarantineNews[],
  now: number,
): number[] {
  return news.flatMap(item => {
    const encode = encoders[item.kind] as (
      value: QuarantineNews,
      time: number,
    ) => PackedItem;
    const packed = encode(item, now);
    return packed.values.length <= MAXIMUM_LENGTH ? encodeItem(packed) : [];
  });
}

/** Unpacks news; what is not valid is left out. */
export function decodeNews(
  packed: readonly number[],
  now: number,
): QuarantineNews[] {
  const news: QuarantineNews[] = [];
  let position = 0;
  while (position < packed.length) {
    const head = packed[position]!;
    const length = (head >>> LENGTH_SHIFT) & MAXIMUM_LENGTH;
    const values = packed.slice(position + 1, position + 1 + length);
    const kind = KINDS[head >>> KIND_SHIFT];
    const at = now - (head & AGE_MASK) * AGE_UNIT_MS;
    const flag = ((head >>> FLAG_SHIFT) & 1) === 1;
    const item =
      kind !== undefined && values.length === length
        ? decoders[kind](values, at, flag)
        : undefined;
    if (item) {
      news.push(item);
    }
    position += 1 + length;
  }
  return news;
}
