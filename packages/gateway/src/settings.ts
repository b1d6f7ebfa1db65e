/** Schema and parser of a gateway's settings, which are one JSON file. */
import {LogLevel, RouterError} from '@buckthornbeam/shared';
import {z} from 'zod';
import {Spreading} from './state/load_spreading.js';
import {AdmissionOrder} from './relay/admission_reason.js';

const addressSchema = z
  .string()
  .regex(/^[\w.-]+:\d{1,5}$/, 'expected host:port')
  .refine(text => Number(text.split(':')[1]) <= 65_535, 'port above 65535');
const millisecondsSchema = z.number().min(0);
/** A template writes null for what the machine does not state. */
function buildOptionalLimit(schema: z.ZodNumber) {
  return schema.nullish().transform(value => value ?? undefined);
}

const optionalAddressSchema = z
  .string()
  .transform(text => (text === '' ? undefined : text))
  .pipe(addressSchema.optional())
  .optional();

const settingsSchema = z.object({
  /** Unique name of this instance. */
  instanceId: z.string().min(1),
  dataCentre: z.string().min(1),
  /** Region by data centre. */
  regions: z.record(z.string(), z.string()),
  listen: z.object({
    /** HTTP server for callers' requests. */
    callers: addressSchema,
    /** Readiness checks; the address may equal the following ones, but not `callers`. */
    readiness: addressSchema,
    /** Queries for the addresses of instances. */
    addresses: addressSchema,
    /** Gossip over UDP and cluster state over HTTP, between instances. */
    peers: addressSchema,
    /** Prometheus metrics; not served if missing or empty. */
    metrics: optionalAddressSchema,
  }),
  /** Whether the whole system starts for the first time. */
  isFirstStart: z.boolean().default(false),
  /** Gossip addresses (`host:port`) of peers to contact first. */
  seeds: z.array(z.string()).default([]),
  store: z.object({
    address: addressSchema,
    /** Time for which the store may hold a read without changes. */
    watchMs: millisecondsSchema.default(100),
    /** Time limit until a new configuration must be in force at all instances. */
    applyMs: millisecondsSchema.min(500).default(2000),
    /** Time limit until a leaving server must get no new requests. */
    drainMs: millisecondsSchema.min(500).default(2000),
  }),
  keys: z
    .object({
      /** Whether to reject API keys that were not confirmed recently enough. */
      failClosed: z.boolean().default(true),
      /** Time limit until a revoked key is rejected. */
      revokeMs: millisecondsSchema.default(5000),
    })
    .prefault({}),
  repeats: z
    .object({
      /** Retries per request. */
      ratio: z.number().min(0).default(0.2),
      /** Window over which requests and retries are counted. */
      windowS: z.number().positive().default(10),
      /** Additional retries of all instances together in each window. */
      extra: z.number().min(0).default(0),
    })
    .prefault({}),
  cold: z
    .object({
      /** Multiplier of the request rate limit of a server that is warming up. */
      overage: z.number().min(0).default(1),
      /** Additional requests in any one second. */
      slack: z.number().min(0).default(0),
    })
    .prefault({}),
  stop: z
    .object({
      /** Time between the stop signal and the kill. */
      graceMs: millisecondsSchema.default(8000),
    })
    .prefault({}),
  addresses: z
    .object({
      /** Upper limit of the TTL of resolved addresses. */
      maximumTtlS: z.number().positive().default(5),
    })
    .prefault({}),
  engines: z
    .object({
      /** Prefill rate of a model server. */
      readingTokensPerMs: z.number().positive().default(50),
      /**
       * Ratio of model servers reserved for short prompts. One fifth performs
       * better than one third and than a ratio derived from the observed load,
       * see docs/design/platform.md.
       */
      shortPromptPart: z.number().min(0).max(0.9).default(0.2),
      /** Whether load is spread by stale reports, see docs/design/even_load.md. */
      /** Whether the speeds of model servers are learned from their answers. */
      learnSpeeds: z.boolean().default(false),
      spreading: z.enum(Object.values(Spreading)).default(Spreading.OFF),
    })
    .prefault({}),
  limits: z
    .object({
      maximumOpenRequests: z.number().int().positive().default(2000),
      /** Total size of the request bodies in memory. */
      maximumHeldBytes: z.number().int().positive().default(48_000_000),
    })
    .prefault({}),
  failures: z
    .object({
      /** Whether instances share the faults of servers with each other. */
      shared: z.boolean().default(false),
    })
    .prefault({}),
  admission: z
    .object({
      /** Whether scarce capacity is divided between customers. */
      customerShares: z.enum(['off', 'on']).default('off'),
      /** Order in which waiting requests take free capacity. */
      order: z.enum(Object.values(AdmissionOrder)).default('arrival'),
    })
    .prefault({}),
  machine: z
    .object({
      /** Memory of the machine; bodies and responses have no common limit without it. */
      memoryMb: buildOptionalLimit(z.number().positive()),
      /** File descriptors of the process; connections have no limit without it. */
      maximumDescriptors: buildOptionalLimit(z.number().int().positive()),
    })
    .prefault({}),
  logLevel: z.enum(Object.values(LogLevel)).default(LogLevel.INFO),
});

/** Validated settings. */
export type GatewaySettings = z.infer<typeof settingsSchema>;

/**
 * Parses and validates settings; unknown fields are ignored.
 * @throws RouterError `invalid_settings`, with all problems in its message
 */
export function parseGatewaySettings(text: string): GatewaySettings {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new RouterError(
      'invalid_settings',
      'the settings are not valid JSON',
      {cause: error as Error},
    );
  }
  const parsed = settingsSchema.safeParse(value);
  if (!parsed.success) {
    const problems = parsed.error.issues.map(
      issue => `${issue.path.join('.') || 'settings'}: ${issue.message}`,
    );
    throw new RouterError('invalid_settings', problems.join('; '));
  }
  return parsed.data;
}
