/** What the gateway routes by: the configuration, backend servers, requests. */

/** What may be repeated on a route. */
export const RouteKind = {
  /** May run more than once. */
  SAFE: 'safe',
  /** Runs at most once. */
  UNSAFE: 'unsafe',
  /** An event stream; runs at most once unless the route is resumable. */
  STREAM: 'stream',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service with its part of a route's traffic. */
export interface RouteTarget {
  serviceName: string;
  /** Relative to the weights of the route's other targets. */
  weight: number;
}

/** A route: requests of a host whose path begins with a prefix. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  targets: readonly RouteTarget[];
  /** Longest time until the final answer, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer or its first event is on time, in milliseconds. */
  targetLatencyMs: number;
  /** Longest pause between events that is on time, in milliseconds. */
  eventPauseMs: number | undefined;
  /** 0 is the highest. */
  priority: number;
  /** Most backend servers that one request may run on. */
  maximumServers: number;
  /** Needs no API key. */
  isPublic: boolean;
  /** Streams may go on at another server after the last event received. */
  isResumable: boolean;
  /** Regions whose servers may run requests; empty for all. */
  allowedRegions: readonly string[];
}

/** Batch engine of a service of model servers. */
export interface EngineProperties {
  /** Requests that a server works on at once. */
  slots: number;
  /** Memory of a server, in tokens. */
  memoryTokens: number;
  /**
   * Tokens of memory that a server copies from another in a millisecond; 0 if
   * servers cannot copy.
   */
  copiedTokensPerMs: number;
  /** Output tokens in one event of a stream; 0 if it is not known. */
  tokensPerEvent: number;
}

/** A service: interchangeable backend servers. */
export interface Service {
  name: string;
  /** Connections that one server accepts from all instances. */
  maximumConnections: number;
  /** How long a server is cold after its start, in milliseconds. */
  coldMs: number;
  /** Requests a second that a cold server tolerates; 0 for no limit. */
  coldRequestsPerSecond: number;
  /** Present for services of model servers. */
  engine: EngineProperties | undefined;
}

/** A customer that holds API keys. */
export interface Customer {
  name: string;
  /** Goes before the priority of routes. */
  priority: number | undefined;
}

/** Limits on what callers may send. */
export interface CallerLimits {
  maximumHeaderBytes: number;
  maximumBodyBytes: number;
  /** Longest time until the headers are whole, in milliseconds. */
  headerTimeoutMs: number;
  /** Longest idle time of a connection, in milliseconds. */
  idleTimeoutMs: number;
}

/** A whole configuration. */
export interface ServiceConfiguration {
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, Service>;
  /** Customers by API key; undefined where no keys are asked for. */
  customersByKey: ReadonlyMap<string, Customer> | undefined;
  limits: CallerLimits;
}

/** A backend server that may be used. */
export interface BackendServer {
  /** Identity of this incarnation. */
  id: string;
  serviceName: string;
  /** `host:port` */
  address: string;
  dataCentre: string;
  isDraining: boolean;
  /** Requests that it works on at once. */
  slots: number;
  /** Rest of its time as a cold server when the entry was written, in milliseconds. */
  coldLeftMs: number;
  /** Start of the server, in milliseconds since 1970. */
  startedAt: number | undefined;
}

/** One part of a prompt, in order. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** What the headers of a generation tell of it. */
export interface GenerationFacts {
  model: string;
  promptTokens: number;
  maximumOutputTokens: number;
  /** Estimate of the caller. */
  expectedOutputTokens: number | undefined;
  /** The last part belongs to the request or its session alone. */
  parts: readonly PromptPart[];
}

/** What the gateway needs to know of a caller's request. */
export interface RequestFacts {
  id: string;
  host: string;
  /** Path without the query. */
  path: string;
  /** How long the caller waits, in milliseconds; undefined if it did not say. */
  deadlineMs: number | undefined;
  apiKey: string | undefined;
  /** Last event that the caller holds of an earlier stream. */
  lastEventId: string | undefined;
  generation: GenerationFacts | undefined;
}
