/**
 * Gossip messages between instances: MessagePack arrays without field names, in
 * which lists of numbers are packed columns, since messages are frequent.
 */
import {decode, encode} from '@msgpack/msgpack';
import type {ShortageNews} from '@buckthornbeam/decisions';
import type {
  GossipRecord,
  LivenessEntry,
  RelayedRecord,
} from '@buckthornbeam/membership';
import {z} from 'zod';
import {FAULT_VALUES} from '../state/fault_tracker.js';
import type {LoadReport, LoadRow} from '../state/server_loads.js';
import {SPEED_VALUES} from '../state/speed_tracker.js';
import {decodeCustomerNews, encodeCustomerNews} from './customer_news.js';
import type {RankNews} from './customer_news.js';
import {decodeLimitNews, encodeLimitNews} from './limit_news.js';
import {decodeSums, encodeSums} from './fleet_sums.js';
import type {SumRow} from './fleet_sums.js';
import type {LimitNews} from './limit_news.js';
import {decodeShortageNews, encodeShortageNews} from './shortage_news.js';

/** What the receiver does with a message. */
export const GossipKind = {
  /** Introduces the sender to a random instance or a seed. */
  HELLO: 'hello',
  /** Lists the records that the sender has; the receiver sends the others. */
  KNOWN: 'known',
  /** Records that the receiver lacks. */
  RECORDS: 'records',
  /** Load of the sender, to the publishers of its group. */
  REPORT: 'report',
  /** Load of a group, to the publishers of the other groups. */
  GROUP_SUM: 'group_sum',
  /** Load of the fleet, from a publisher to the instances of its group. */
  TOTALS: 'totals',
} as const;
export type GossipKind = (typeof GossipKind)[keyof typeof GossipKind];

export interface GossipMessage {
  kind: GossipKind;
  sender: GossipRecord;
  /** Version of the sender's configuration; 0 if it has none. */
  version: number;
  /** Latest store revision that the sender has applied. */
  revision: number;
  /** Digest of the sender's configuration, evacuations and servers. */
  digest: number;
  /** Age of the last confirmation of the sender's configuration by the store. */
  confirmedAgeMs: number;
  /** Digest of the records in the sender's table, see `GossipTable`. */
  memberDigest: number;
  /** Group of a sum; empty in other messages. */
  groupKey: string;
  loadReport: LoadReport;
  /** Servers that have prefilled a prefix, encoded by `PrefixLocations`. */
  cacheLocations: readonly number[];
  relayed: readonly RelayedRecord[];
  liveness: readonly LivenessEntry[];
  /** State hashes of the instances in the sender's table that were not heard. */
  silentHashes: readonly number[];
  /** State hashes of the records that the sender has. */
  knownHashes: readonly number[];
  /** News of the prompt quarantine, packed by `encodeNews`. */
  quarantineNews: readonly number[];
  /** What servers stated about their request rate. */
  limitNews: readonly LimitNews[];
  /** Recent faults and answers by server. */
  faultSums: readonly SumRow[];
  /** Observed and expected times of answers by server. */
  speedSums: readonly SumRow[];
  /** What customers asked for and got; absent unless capacity is scarce. */
  customerNews?: readonly RankNews[];
  /** Services that lack capacity. */
  shortageNews: readonly ShortageNews[];
}

/** A message as sent to one instance, with the instances to forward it to. */
export interface GossipEnvelope {
  message: GossipMessage;
  /** State hashes of the instances to which the receiver forwards the message. */
  forwardTo: readonly number[];
  /** Digest of the cluster state of the instance that sent or forwarded it. */
  hopDigest: number;
}

type RecordRow = [
  instanceId: string,
  incarnation: string,
  round: number,
  gossipAddress: string,
  callerAddress: string,
  dataCentre: string,
  isReady: boolean,
  isLeaving: boolean,
];

const recordSchema = z
  .tuple([
    z.string().min(1),
    z.string().min(1),
    z.number(),
    z.string(),
    z.string(),
    z.string(),
    z.boolean(),
    z.boolean(),
  ])
  .transform(
    (row): GossipRecord => ({
      instanceId: row[0],
      incarnation: row[1],
      round: row[2],
      gossipAddress: row[3],
      callerAddress: row[4],
      dataCentre: row[5],
      isReady: row[6],
      isLeaving: row[7],
    }),
  );

const ageSchema = z.number().min(0);
const bytesSchema = z.instanceof(Uint8Array);

const messageSchema = z
  .tuple([
    z.enum(Object.values(GossipKind)),
    recordSchema,
    z.number(),
    z.number(),
    z.number(),
    ageSchema,
    z.number(),
    z.string(),
    bytesSchema,
    bytesSchema,
    z.array(z.tuple([recordSchema, ageSchema])),
    bytesSchema,
    bytesSchema,
    bytesSchema,
  ])
  // Left out if empty.
  .rest(bytesSchema)
  .transform(
    (row): GossipMessage => ({
      kind: row[0],
      sender: row[1],
      version: row[2],
      revision: row[3],
      digest: row[4],
      confirmedAgeMs: row[5],
      memberDigest: row[6],
      groupKey: row[7],
      loadReport: decodeLoads(row[8]),
      cacheLocations: decodeIntegers(row[9]),
      relayed: row[10].map(([record, ageMs]) => ({record, ageMs})),
      liveness: decodeLiveness(row[11]),
      silentHashes: decodeIntegers(row[12]),
      knownHashes: decodeIntegers(row[13]),
      quarantineNews: decodeIntegers(row[14] ?? new Uint8Array()),
      limitNews: decodeLimitNews(row[15] ?? new Uint8Array()),
      faultSums: decodeSums(row[18] ?? new Uint8Array(), FAULT_VALUES),
      speedSums: decodeSums(row[19] ?? new Uint8Array(), SPEED_VALUES),
      ...(row[17]?.length ? {customerNews: decodeCustomerNews(row[17])} : {}),
      shortageNews: decodeShortageNews(row[16] ?? new Uint8Array()),
    }),
  );

const envelopeSchema = z.tuple([bytesSchema, z.number(), bytesSchema]);

const INTEGER_BYTES = 4;
/** Hash, requests, pending tokens, tokens in flight and prefill rate. */
const LOAD_ROW_BYTES = 12;
/** Hash and age. */
const LIVENESS_ROW_BYTES = 5;
/** Tokens in one unit of a packed load row. */
const TOKEN_UNIT = 16;
/** Packed rates are hundredths of a token per millisecond. */
const RATE_SCALE = 100;
/** Milliseconds in one unit of a packed age. */
const AGE_UNIT_MS = 40;
const MAXIMUM_UINT8 = 0xff;
const MAXIMUM_UINT16 = 0xffff;
/**
 * Rows of a load report; the servers with the fewest requests are left out
 * beyond it.
 */
const MAXIMUM_LOAD_ROWS = 300;
/** Sent in place of an infinite age, which the zod schema rejects. */
const MAXIMUM_AGE_MS = 1e9;

function encodeIntegers(values: readonly number[]): Uint8Array {
  const bytes = new Uint8Array(values.length * INTEGER_BYTES);
  const view = new DataView(bytes.buffer);
  values.forEach((value, index) =>
    view.setUint32(index * INTEGER_BYTES, value),
  );
  return bytes;
}

/** Reads the rows of a packed column; an incomplete last row is left out. */
function decodeRows<Row>(
  bytes: Uint8Array,
  rowBytes: number,
  readRow: (view: DataView, offset: number) => Row,
): Row[] {
  const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  return Array.from({length: Math.floor(bytes.length / rowBytes)}, (_, index) =>
    readRow(view, index * rowBytes),
  );
}

function decodeIntegers(bytes: Uint8Array): number[] {
  return decodeRows(bytes, INTEGER_BYTES, (view, offset) =>
    view.getUint32(offset),
  );
}

function encodeLoads(report: LoadReport): Uint8Array {
  const rows =
    report.length > MAXIMUM_LOAD_ROWS
      ? [...report].sort((a, b) => b[1] - a[1]).slice(0, MAXIMUM_LOAD_ROWS)
      : report;
  const bytes = new Uint8Array(rows.length * LOAD_ROW_BYTES);
  const view = new DataView(bytes.buffer);
  rows.forEach(([hash, inFlight, pendingTokens, tokens, rate], index) => {
    const offset = index * LOAD_ROW_BYTES;
    view.setUint32(offset, hash);
    [
      inFlight,
      pendingTokens / TOKEN_UNIT,
      tokens / TOKEN_UNIT,
      rate * RATE_SCALE,
    ].forEach((value, column) =>
      view.setUint16(
        offset + 4 + 2 * column,
        Math.min(MAXIMUM_UINT16, Math.max(0, Math.round(value))),
      ),
    );
  });
  return bytes;
}

function decodeLoads(bytes: Uint8Array): LoadRow[] {
  return decodeRows(bytes, LOAD_ROW_BYTES, (view, offset) => [
    view.getUint32(offset),
    view.getUint16(offset + 4),
    view.getUint16(offset + 6) * TOKEN_UNIT,
    view.getUint16(offset + 8) * TOKEN_UNIT,
    view.getUint16(offset + 10) / RATE_SCALE,
  ]);
}

function encodeLiveness(entries: readonly LivenessEntry[]): Uint8Array {
  const bytes = new Uint8Array(entries.length * LIVENESS_ROW_BYTES);
  const view = new DataView(bytes.buffer);
  entries.forEach(({stateHash, ageMs}, index) => {
    const offset = index * LIVENESS_ROW_BYTES;
    view.setUint32(offset, stateHash);
    const units = Math.ceil(ageMs / AGE_UNIT_MS);
    view.setUint8(offset + 4, Math.min(MAXIMUM_UINT8, units));
  });
  return bytes;
}

function decodeLiveness(bytes: Uint8Array): LivenessEntry[] {
  return decodeRows(bytes, LIVENESS_ROW_BYTES, (view, offset) => ({
    stateHash: view.getUint32(offset),
    ageMs: view.getUint8(offset + 4) * AGE_UNIT_MS,
  }));
}

function encodeRecord(record: GossipRecord): RecordRow {
  return [
    record.instanceId,
    record.incarnation,
    record.round,
    record.gossipAddress,
    record.callerAddress,
    record.dataCentre,
    record.isReady,
    record.isLeaving,
  ];
}

/** Encoded messages, which are sent to several instances or forwarded. */
const encodedMessages = new WeakMap<GossipMessage, Uint8Array>();

/** Encodes the last columns; those that are empty up to the end are left out. */
function encodeOptionalColumns(message: GossipMessage): Uint8Array[] {
  const columns = [
    encodeIntegers(message.quarantineNews),
    encodeLimitNews(message.limitNews),
    encodeShortageNews(message.shortageNews),
    encodeCustomerNews(message.customerNews ?? []),
    encodeSums(message.faultSums),
    encodeSums(message.speedSums),
  ];
  const last = columns.findLastIndex(column => column.length > 0);
  return columns.slice(0, last + 1);
}

function encodeMessage(message: GossipMessage): Uint8Array {
  let bytes = encodedMessages.get(message);
  if (!bytes) {
    bytes = encode([
      message.kind,
      encodeRecord(message.sender),
      message.version,
      message.revision,
      message.digest,
      Math.round(Math.min(MAXIMUM_AGE_MS, message.confirmedAgeMs)),
      message.memberDigest,
      message.groupKey,
      encodeLoads(message.loadReport),
      encodeIntegers(message.cacheLocations),
      message.relayed.map(({record, ageMs}) => [
        encodeRecord(record),
        Math.round(ageMs),
      ]),
      encodeLiveness(message.liveness),
      encodeIntegers(message.silentHashes),
      encodeIntegers(message.knownHashes),
      ...encodeOptionalColumns(message),
    ]);
    encodedMessages.set(message, bytes);
  }
  return bytes;
}

export function encodeGossip(envelope: GossipEnvelope): Uint8Array {
  return encode([
    encodeIntegers(envelope.forwardTo),
    envelope.hopDigest,
    encodeMessage(envelope.message),
  ]);
}

/** Decodes a datagram; returns undefined if it is not a valid message. */
export function decodeGossip(bytes: Uint8Array): GossipEnvelope | undefined {
  try {
    const [forwardTo, hopDigest, payload] = envelopeSchema.parse(decode(bytes));
    const message = messageSchema.parse(decode(payload));
    if (forwardTo.length > 0) {
      encodedMessages.set(message, payload);
    }
    return {message, forwardTo: decodeIntegers(forwardTo), hopDigest};
  } catch {
    return undefined;
  }
}
