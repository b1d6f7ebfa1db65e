/**
 * Gossip messages between instances. They are MessagePack arrays without field
 * names, since every instance sends dozens of datagrams per second.
 */
import {decode, encode} from '@msgpack/msgpack';
import type {
  GossipRecord,
  RelayedRecord,
  LivenessReport,
} from '@buckthornbeam/membership';
import {z} from 'zod';
import type {LoadReport, LoadRow} from '../state/server_loads.js';

export interface GossipMessage {
  sender: GossipRecord;
  /** Version of the sender's configuration; 0 if it has none. */
  version: number;
  /** Latest store revision that the sender has applied. */
  revision: number;
  /** Digest of the sender's configuration, evacuations and servers. */
  digest: number;
  /** Age of the last confirmation of the sender's configuration by the store. */
  confirmedAgeMs: number;
  /** Load that the sender has put on each server. */
  loadReport: LoadReport;
  /** Servers that have prefilled a prefix, encoded by `PrefixLocations`. */
  cacheLocations: readonly number[];
  relayed: readonly RelayedRecord[];
  livenessReports: readonly LivenessReport[];
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

/** Prefill rates are sent as integers in hundredths, which are shorter than floats. */
const RATE_SCALE = 100;

const loadRowSchema = z
  .tuple([z.number(), z.number(), z.number(), z.number(), z.number()])
  .transform(
    ([hash, inFlight, pendingTokens, tokens, rate]): LoadRow => [
      hash,
      inFlight,
      pendingTokens,
      tokens,
      rate / RATE_SCALE,
    ],
  );

const livenessReportSchema = z
  .tuple([z.number(), z.number(), ageSchema])
  .transform(
    ([stateHash, round, ageMs]): LivenessReport => ({stateHash, round, ageMs}),
  );

const messageSchema = z
  .tuple([
    recordSchema,
    z.number(),
    z.number(),
    z.number(),
    ageSchema,
    z.array(loadRowSchema),
    z.instanceof(Uint8Array),
    z.array(z.tuple([recordSchema, ageSchema])),
    z.array(livenessReportSchema),
  ])
  .transform(
    (row): GossipMessage => ({
      sender: row[0],
      version: row[1],
      revision: row[2],
      digest: row[3],
      confirmedAgeMs: row[4],
      loadReport: row[5],
      cacheLocations: decodeIntegers(row[6]),
      relayed: row[7].map(([record, ageMs]) => ({record, ageMs})),
      livenessReports: row[8],
    }),
  );

function encodeIntegers(values: readonly number[]): Uint8Array {
  return new Uint8Array(new Uint32Array(values).buffer);
}

function decodeIntegers(bytes: Uint8Array): number[] {
  // Uint32Array needs aligned memory. `Uint8Array.from` copies; Buffer's `slice` would not.
  const copy = Uint8Array.from(bytes);
  const length = Math.floor(copy.length / Uint32Array.BYTES_PER_ELEMENT);
  return [...new Uint32Array(copy.buffer, 0, length)];
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

/** Sent in place of an infinite age, which the zod schema rejects. */
const MAXIMUM_AGE_MS = 1e9;

export function encodeGossip(message: GossipMessage): Uint8Array {
  return encode([
    encodeRecord(message.sender),
    message.version,
    message.revision,
    message.digest,
    Math.round(Math.min(MAXIMUM_AGE_MS, message.confirmedAgeMs)),
    message.loadReport.map(([hash, inFlight, pendingTokens, tokens, rate]) => [
      hash,
      inFlight,
      pendingTokens,
      tokens,
      Math.round(rate * RATE_SCALE),
    ]),
    encodeIntegers(message.cacheLocations),
    message.relayed.map(({record, ageMs}) => [
      encodeRecord(record),
      Math.round(ageMs),
    ]),
    message.livenessReports.map(({stateHash, round, ageMs}) => [
      stateHash,
      round,
      Math.round(ageMs),
    ]),
  ]);
}

/** Decodes a datagram; returns undefined if it is not a valid message. */
export function decodeGossip(bytes: Uint8Array): GossipMessage | undefined {
  let value: unknown;
  try {
    value = decode(bytes);
  } catch {
    return undefined;
  }
  const parsed = messageSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
