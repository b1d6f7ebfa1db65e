/** Data model of the gateway: configuration, backend servers and requests. */

/** Whether requests of a route may be retried. */
export const RouteKind = {
  /** Idempotent: may run more than once. */
  SAFE: 'safe',
  /** Not idempotent: runs at most once. */
  UNSAFE: 'unsafe',
  /** An event stream; runs at most once unless the route is resumable. */
  STREAM: 'stream',
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

/** A service that receives a share of a route's traffic. */
export interface RouteTarget {
  serviceName: string;
  /** Relative to the weights of the route's other targets. */
  weight: number;
}

/** A route matches requests by host and path prefix. */
export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RouteKind;
  targets: readonly RouteTarget[];
  /** Time limit of the complete answer. */
  timeoutMs: number;
  /** Target time to the complete answer, or to the first event of a stream. */
  targetLatencyMs: number;
  /** Target for the longest pause between two events of a stream. */
  eventPauseMs: number | undefined;
  /** 0 is the highest. */
  priority: number;
  /** Upper limit of backend servers on which one request may run. */
  maximumServers: number;
  /** Requests need no API key. */
  isPublic: boolean;
  /** Another server may continue a stream after the last event received. */
  isResumable: boolean;
  /** Regions whose servers may run requests; all regions if empty. */
  allowedRegions: readonly string[];
}

/** Properties of the batching inference engine that a service's model servers run. */
export interface EngineProperties {
  /** Requests that a server runs concurrently. */
  slots: number;
  /** Size of a server's KV cache. */
  kvCacheTokens: number;
  /** Rate of KV-cache transfers between two servers; 0 if they are not supported. */
  copiedTokensPerMs: number;
  /** Output tokens in one event of a stream; 0 if unknown. */
  tokensPerEvent: number;
}

/** A group of interchangeable backend servers. */
export interface Service {
  name: string;
  /** Connections that one server accepts from all instances together. */
  maximumConnections: number;
  /** Length of the warm-up of a server after its start. */
  coldMs: number;
  /** Request rate limit of a server that is warming up; 0 for no limit. */
  coldRequestsPerSecond: number;
  /** Undefined unless the service runs model servers. */
  engine: EngineProperties | undefined;
}

export interface Customer {
  name: string;
  /** Compared before the priority of the route; 0 is the highest. */
  priority: number | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  maximumHeaderBytes: number;
  maximumBodyBytes: number;
  /** Time limit for receiving the complete headers. */
  headerTimeoutMs: number;
  /** Time limit of an idle connection. */
  idleTimeoutMs: number;
}

/** One version of the operator's configuration. */
export interface ServiceConfiguration {
  version: number;
  routes: readonly Route[];
  services: ReadonlyMap<string, Service>;
  /** Customers by API key; undefined if the configuration requires no keys. */
  customersByKey: ReadonlyMap<string, Customer> | undefined;
  limits: CallerLimits;
}

/** A backend server that is listed in the store. */
export interface BackendServer {
  /** Id of the server incarnation. */
  id: string;
  serviceName: string;
  /** `host:port` */
  address: string;
  dataCentre: string;
  isDraining: boolean;
  /** Requests that the server runs concurrently. */
  slots: number;
  /** Remaining warm-up time when the entry was written. */
  coldLeftMs: number;
  /** Start time in milliseconds since 1970. */
  startedAt: number | undefined;
}

/** A section of a prompt; equal leading ids of two prompts mark a shared prefix. */
export interface PromptBlock {
  id: string;
  tokens: number;
}

/** Metadata of a text generation, from the request headers. */
export interface GenerationMetadata {
  model: string;
  promptTokens: number;
  maximumOutputTokens: number;
  /** The caller's estimate. */
  expectedOutputTokens: number | undefined;
  /** All blocks of the prompt in order; the last is not shared beyond the request's session. */
  blocks: readonly PromptBlock[];
}

/** Metadata of a caller's request, from its URL and headers. */
export interface RequestMetadata {
  id: string;
  host: string;
  /** Path without the query. */
  path: string;
  /** Time that the caller waits for the answer; undefined if it set no limit. */
  deadlineMs: number | undefined;
  apiKey: string | undefined;
  /** Id of the last event that the caller received, to resume an earlier stream. */
  lastEventId: string | undefined;
  generation: GenerationMetadata | undefined;
}
