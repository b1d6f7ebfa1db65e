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
  relayed: z.array(z.object({record: recordSchema, ageMs: z.number().min(0)})),
});

/** Stands for an age without bound, which JSON cannot hold, in milliseconds. */
const UNKNOWN_AGE_MS = 1e9;

/** Encodes a message. */
export function encodeGossip(message: GossipMessage): Buffer {
  const confirmedAgeMs = Math.min(UNKNOWN_AGE_MS, message.confirmedAgeMs);
  return Buffer.from(JSON.stringify({...message, confirmedAgeMs}));
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
  return parsed.success ? parsed.data : undefined;
}
