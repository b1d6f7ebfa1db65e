/** Settings of one process. */
import {LogLevel, SECOND_MS} from '@buckthornbeam/shared';

/** How requests are spread over backend servers. */
export const Policy = {
  /** One owner dispatches to each backend server. */
  OWNER: 'owner',
  /** Baseline: each instance dispatches by lagged load reports. */
  INDEPENDENT: 'independent',
  /** Baseline: each instance has a fixed part of every server's limit. */
  QUOTA: 'quota',
} as const;
export type Policy = (typeof Policy)[keyof typeof Policy];

/** A socket to listen on; port 0 lets the system choose. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** Bounds on what callers can use up. */
export interface RequestLimits {
  /** Size of one body. */
  maximumBodyBytes: number;
  /** Bodies of all open requests together. */
  maximumBufferedBytes: number;
  /** Size of all headers of one request. */
  maximumHeaderBytes: number;
  /** Connections of callers; further ones are closed at once. */
  maximumConnections: number;
  /** Requests of callers at once. */
  maximumOpenRequests: number;
  /** Time for the headers to arrive whole, in milliseconds. */
  headerTimeoutMs: number;
  /** Time that a caller may leave an answer unread, in milliseconds. */
  writeTimeoutMs: number;
  /** Time that a connection may stay open without a request. */
  idleConnectionMs: number;
  /** Time for a body to arrive whole, in milliseconds. */
  bodyTimeoutMs: number;
  /** Requests that may wait in one owner's queue for one server. */
  maximumQueuedRequests: number;
}

/** Periods of the control traffic, in milliseconds. */
export interface Timing {
  heartbeatMs: number;
  leaseMs: number;
  /** Longest wait of one watch at the configuration service. */
  watchMs: number;
  /** Longest lag of the published instance list. */
  listLagMs: number;
}

/** What is logged of the traffic. */
export interface LogSettings {
  /** One of this many whole answers has a log line; failures all have one. */
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
  /** Key that authenticates tickets; the same on every instance. */
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

/** Creates settings from their file form by filling in the defaults. */
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
