/** Settings of a gateway: one JSON file, checked as a whole. */
import {LogLevel, RouterError} from '@buckthornbeam/shared';
import {z} from 'zod';

const address = z
  .string()
  .regex(/^[\w.-]+:\d{1,5}$/, 'expected host:port')
  .refine(text => Number(text.split(':')[1]) <= 65_535, 'port above 65535');
const milliseconds = z.number().min(0);
const optionalAddress = z
  .string()
  .transform(text => (text === '' ? undefined : text))
  .pipe(address.optional())
  .optional();

const settingsSchema = z.object({
  /** Name of this instance, unique in the fleet. */
  instanceId: z.string().min(1),
  dataCentre: z.string().min(1),
  /** Region of each data centre. */
  regions: z.record(z.string(), z.string()),
  listen: z.object({
    /** Requests of callers. */
    callers: address,
    /** Readiness checks; served with the callers' port where it is the same. */
    readiness: address,
    /** Questions for addresses. */
    addresses: address,
    /** Gossip datagrams and knowledge, between instances. */
    peers: address,
    metrics: optionalAddress,
  }),
  /** Peers to ask first. */
  seeds: z.array(z.string()).default([]),
  store: z.object({
    address,
    /** Longest wait of one watch. */
    watchMs: milliseconds.default(1000),
    /** Pause between an answer and the next watch. */
    pauseMs: milliseconds.default(250),
    /** Instances that read the store; the others follow what these pass on. */
    readers: z.number().int().positive().default(8),
    /**
     * Pause of a reader that others follow. Readers are not in step, so that the
     * fleet hears of a change within a fraction of it.
     */
    sharedPauseMs: milliseconds.default(600),
    /** Pause of an instance that follows the readers. */
    followerPauseMs: milliseconds.default(10_000),
  }),
  keys: z
    .object({
      /** Refuse keys whose validity was not confirmed in time. */
      failClosed: z.boolean().default(true),
      /** A withdrawn key is refused after this time at the latest. */
      revokeMs: milliseconds.default(5000),
    })
    .prefault({}),
  repeats: z
    .object({
      /** Repeats for each request. */
      ratio: z.number().min(0).default(0.2),
      windowS: z.number().positive().default(10),
      /** Repeats of the fleet in a window beyond that. */
      extra: z.number().min(0).default(0),
    })
    .prefault({}),
  cold: z
    .object({
      /** Factor on the request rate that a cold server tolerates. */
      overage: z.number().min(0).default(1),
      /** Requests in one second beyond that. */
      slack: z.number().min(0).default(0),
    })
    .prefault({}),
  stop: z
    .object({
      /** Time from the stop signal to the kill. */
      graceMs: milliseconds.default(8000),
    })
    .prefault({}),
  addresses: z
    .object({
      /** Longest time that callers keep an answer. */
      maximumTtlS: z.number().positive().default(5),
    })
    .prefault({}),
  engines: z
    .object({
      /** Prompt tokens that a model server reads in a millisecond. */
      readingTokensPerMs: z.number().positive().default(50),
      /**
       * Part of the model servers that is set apart for short prompts. A fifth
       * measured better than a third and than a part by the work seen, see
       * docs/design/platform.md.
       */
      shortPromptPart: z.number().min(0).max(0.9).default(0.2),
    })
    .prefault({}),
  limits: z
    .object({
      maximumOpenRequests: z.number().int().positive().default(2000),
      /** Request bodies held in memory at once. */
      maximumHeldBytes: z.number().int().positive().default(48_000_000),
    })
    .prefault({}),
  logLevel: z.enum(Object.values(LogLevel)).default(LogLevel.INFO),
});

/** Checked settings. */
export type GatewaySettings = z.infer<typeof settingsSchema>;

/**
 * Parses and checks settings; unknown fields are ignored.
 * @throws RouterError `invalid_settings` that lists every problem
 */
export function parseGatewaySettings(text: string): GatewaySettings {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new RouterError('invalid_settings', 'the settings are not JSON', {
      cause: error as Error,
    });
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
