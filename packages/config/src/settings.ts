/** Settings of a router process and their defaults. */
import {LogLevel, SECOND_MS} from '@buckthornbeam/shared';

/** How requests are distributed over backend servers. */
export const Policy = {
  /** Each backend server has one owner, which dispatches all its requests. */
  OWNER: 'owner',
  /** Baseline: each instance dispatches by delayed load reports. */
  INDEPENDENT: 'independent',
  /** Baseline: each instance has a fixed share of every server's limit. */
  QUOTA: 'quota',
} as const;
export type Policy = (typeof Policy)[keyof typeof Policy];

/** Address to listen on; with port 0 the system assigns a free port. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Limits on the resources that callers can use. */
export interface RequestLimits {
  /** Maximum size of one request body. */
  maximumBodyBytes: number;
  /** Maximum total size of the buffered bodies of all open requests. */
  maximumBufferedBytes: number;
  /** Maximum total size of the headers of one request. */
  maximumHeaderBytes: number;
  /** Maximum number of caller connections; further ones are closed at once. */
  maximumConnections: number;
  /** Maximum number of concurrent caller requests. */
  maximumOpenRequests: number;
  /** Timeout for receiving all headers of a request. */
  headerTimeoutMs: number;
  /** Timeout for a response that the caller does not read. */
  writeTimeoutMs: number;
  /** Keep-alive timeout of a connection without a request. */
  idleConnectionMs: number;
  /** Timeout for receiving the whole body of a request. */
  bodyTimeoutMs: number;
  /** Maximum length of an owner's queue for one server. */
  maximumQueuedRequests: number;
}

/** Timing of the traffic to other instances and the configuration service. */
export interface Timing {
  heartbeatMs: number;
  leaseMs: number;
  /** Maximum duration of one blocking read of the configuration service. */
  watchMs: number;
  /** Maximum lag of the instance list; an older list confirmation is stale. */
  listLagMs: number;
}

/** Which requests are logged. */
export interface LogSettings {
  /** Logs one of this many complete responses; failures are always logged. */
  sampleEvery: number;
}

/** Settings with all defaults filled in. */
export interface Settings {
  instance: {id: string; dataCentre: string};
  callers: ListenAddress;
  peers: ListenAddress;
  platform: {address: string; fileSetKey: string; instanceService: string};
  metrics?: {address: string};
  logLevel: LogLevel;
  logs: LogSettings;
  policy: Policy;
  /** Key that authenticates tickets; must be equal on all instances. */
  ticketKey: string;
  limits: RequestLimits;
  timing: Timing;
}

/** Settings as written in the file. */
export type SettingsFile = Pick<
  Settings,
  'instance' | 'callers' | 'peers' | 'ticketKey'
> & {
  platform: Partial<Settings['platform']> & {address: string};
  metrics?: {address: string};
  logLevel?: LogLevel;
  logs?: Partial<LogSettings>;
  policy?: Policy;
  limits?: Partial<RequestLimits>;
  timing?: Partial<Timing>;
};

const KIBIBYTE = 1024;
const MEBIBYTE = 1024 * KIBIBYTE;

const defaultLimits: RequestLimits = {
  maximumBodyBytes: 4 * MEBIBYTE,
  maximumBufferedBytes: 64 * MEBIBYTE,
  maximumHeaderBytes: 16 * KIBIBYTE,
  maximumConnections: 8192,
  maximumOpenRequests: 4096,
  headerTimeoutMs: 5 * SECOND_MS,
  writeTimeoutMs: 30 * SECOND_MS,
  idleConnectionMs: 60 * SECOND_MS,
  bodyTimeoutMs: 10 * SECOND_MS,
  maximumQueuedRequests: 256,
};

const defaultTiming: Timing = {
  heartbeatMs: 500,
  leaseMs: 2000,
  watchMs: 30 * SECOND_MS,
  listLagMs: 5 * SECOND_MS,
};

/** Adds the defaults to the settings of a file. */
export function createSettings(file: SettingsFile): Settings {
  return {
    ...file,
    platform: {
      fileSetKey: 'buckthornbeam/file-set',
      instanceService: 'buckthornbeam',
      ...file.platform,
    },
    logLevel: file.logLevel ?? LogLevel.INFO,
    logs: {sampleEvery: 1, ...file.logs},
    policy: file.policy ?? Policy.OWNER,
    limits: {...defaultLimits, ...file.limits},
    timing: {...defaultTiming, ...file.timing},
  };
}
