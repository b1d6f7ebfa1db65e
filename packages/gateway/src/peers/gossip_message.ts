/** Messages of the gossip between instances; JSON in datagrams. */
import type {GossipRecord, RelayedRecord} from '@buckthornbeam/membership';
import {z} from 'zod';
import type {WorkReport} from '../state/server_loads.js';

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
}

const recordSchema = z.object({
  instanceId: z.string().min(1),
  incarnation: z.string().min(1),
  round: z.number(),
  gossipAddress: z.string(),
  callerAddress: z.string(),
  dataCentre: z.string(),
  isReady: z.boolean(),
  isLeaving: z.boolean(),
});

const messageSchema = z.object({
  sender: recordSchema,
  version: z.number(),
  revision: z.number(),
  digest: z.number(),
  confirmedAgeMs: z.number().min(0),
  work: z.record(
    z.string(),
    z.tuple([z.number(), z.number(), z.number(), z.number()]),
  ),
  prefixPlaces: z.string(),
  relayed: z.array(z.object({record: recordSchema, ageMs: z.number().min(0)})),
});

/** Stands for an age without bound, which JSON cannot hold, in milliseconds. */
const UNKNOWN_AGE_MS = 1e9;

/** Encodes unsigned 32-bit integers compactly. */
function encodeIntegers(values: readonly number[]): string {
  return Buffer.from(new Uint32Array(values).buffer).toString('base64');
}

function decodeIntegers(text: string): number[] {
  const bytes = new Uint8Array(Buffer.from(text, 'base64'));
  const length = Math.floor(bytes.length / Uint32Array.BYTES_PER_ELEMENT);
  return [...new Uint32Array(bytes.buffer, 0, length)];
}

/** Encodes a message. */
export function encodeGossip(message: GossipMessage): Buffer {
  const confirmedAgeMs = Math.min(UNKNOWN_AGE_MS, message.confirmedAgeMs);
  const prefixPlaces = encodeIntegers(message.prefixPlaces);
  return Buffer.from(
    JSON.stringify({...message, confirmedAgeMs, prefixPlaces}),
  );
}

/** Decodes a datagram; undefined if it is no message. */
export function decodeGossip(bytes: Buffer): GossipMessage | undefined {
  let value: unknown;
  try {
    value = JSON.parse(bytes.toString('utf8'));
  } catch {
    return undefined;
  }
  const parsed = messageSchema.safeParse(value);
  if (!parsed.success) {
    return undefined;
  }
  const {data} = parsed;
  return {...data, prefixPlaces: decodeIntegers(data.prefixPlaces)};
}
