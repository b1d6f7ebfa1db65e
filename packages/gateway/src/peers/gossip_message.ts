/**
 * Messages of the gossip between instances: MessagePack in datagrams, without
 * names of fields, since every instance sends dozens of them each second.
 */
import {decode, encode} from '@msgpack/msgpack';
import type {
  GossipRecord,
  RelayedRecord,
  Sighting,
} from '@buckthornbeam/membership';
import {z} from 'zod';
import type {WorkReport, WorkRow} from '../state/server_loads.js';

/** One message. */
export interface GossipMessage {
  sender: GossipRecord;
  /** Version of the sender's configuration; 0 for none. */
  version: number;
  /** Store revision that the sender has seen. */
  revision: number;
  /** Digest of the configuration, evacuations and servers. */
  digest: number;
  /** Age of the last confirmation of that configuration, in milliseconds. */
  confirmedAgeMs: number;
  /** Work by server, see {@link WorkReport}. */
  work: WorkReport;
  /** Places where prefixes were read, see `PrefixLocations`. */
  prefixPlaces: readonly number[];
  relayed: readonly RelayedRecord[];
  sightings: readonly Sighting[];
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

const age = z.number().min(0);

/** Reading rates are sent as whole hundredths, which take less room. */
const RATE_UNITS = 100;

/** See {@link WorkRow}. */
const workSchema = z
  .tuple([z.number(), z.number(), z.number(), z.number(), z.number()])
  .transform(
    ([hash, inFlight, unread, tokens, rate]): WorkRow => [
      hash,
      inFlight,
      unread,
      tokens,
      rate / RATE_UNITS,
    ],
  );

const sightingSchema = z
  .tuple([z.number(), z.number(), age])
  .transform(
    ([stateHash, round, ageMs]): Sighting => ({stateHash, round, ageMs}),
  );

const messageSchema = z
  .tuple([
    recordSchema,
    z.number(),
    z.number(),
    z.number(),
    age,
    z.array(workSchema),
    z.instanceof(Uint8Array),
    z.array(z.tuple([recordSchema, age])),
    z.array(sightingSchema),
  ])
  .transform(
    (row): GossipMessage => ({
      sender: row[0],
      version: row[1],
      revision: row[2],
      digest: row[3],
      confirmedAgeMs: row[4],
      work: row[5],
      prefixPlaces: decodeIntegers(row[6]),
      relayed: row[7].map(([record, ageMs]) => ({record, ageMs})),
      sightings: row[8],
    }),
  );

function encodeIntegers(values: readonly number[]): Uint8Array {
  return new Uint8Array(new Uint32Array(values).buffer);
}

function decodeIntegers(bytes: Uint8Array): number[] {
  // A copy, since integers have to be aligned; a slice of a Buffer is none.
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

/** Stands for an age without bound, which is no number to zod, in milliseconds. */
const UNKNOWN_AGE_MS = 1e9;

/** Encodes a message. */
export function encodeGossip(message: GossipMessage): Uint8Array {
  return encode([
    encodeRecord(message.sender),
    message.version,
    message.revision,
    message.digest,
    Math.round(Math.min(UNKNOWN_AGE_MS, message.confirmedAgeMs)),
    message.work.map(([hash, inFlight, unread, tokens, rate]) => [
      hash,
      inFlight,
      unread,
      tokens,
      Math.round(rate * RATE_UNITS),
    ]),
    encodeIntegers(message.prefixPlaces),
    message.relayed.map(({record, ageMs}) => [
      encodeRecord(record),
      Math.round(ageMs),
    ]),
    message.sightings.map(({stateHash, round, ageMs}) => [
      stateHash,
      round,
      Math.round(ageMs),
    ]),
  ]);
}

/** Decodes a datagram; undefined if it is no message. */
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
