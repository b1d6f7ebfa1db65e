/** Types of the operators' file set; they correspond to the JSON schemas. */

/** Whether a data centre, backend server or plain service is in service. */
export const ServiceState = {IN: 'in', OUT: 'out'} as const;
export type ServiceState = (typeof ServiceState)[keyof typeof ServiceState];

/** Which instances are candidates for the owner of a backend server. */
export const OwnershipScope = {
  REGION: 'region',
  DATA_CENTRE: 'data_centre',
} as const;
export type OwnershipScope =
  (typeof OwnershipScope)[keyof typeof OwnershipScope];

/** Contents of service.json. */
export interface ServiceFile {
  name: string;
  /** Increases with every accepted file set. */
  revision: number;
  /** Digest of the set that this one was derived from; null for the first. */
  basedOn: string | null;
  ownershipScope: OwnershipScope;
  /** Maximum duration of a request. */
  maximumRequestMs: number;
}

/** Latency targets of a class, in milliseconds. */
export interface ClassTargets {
  firstTokenMs: number;
  betweenTokensMs: number;
  completionMs: number;
}

export interface RequestClass {
  name: string;
  /** 1 is the highest priority, 4 the lowest. */
  tier: number;
  targets: ClassTargets;
  /** Guaranteed share of the dispatched work, between 0 and 1. */
  minimumShare: number;
  maximumOutputTokens: number;
  /** Maximum ratio of retries to requests, between 0 and 1. */
  retryBudget: number;
}

export interface Customer {
  id: string;
  /** SHA-256 of the API key in lower-case hexadecimal. */
  apiKeyDigest: string;
  tokensPerSecond: number;
  burstTokens: number;
  /** Weight in fair queueing. */
  weight: number;
}

/** A language model that backend servers serve. */
export interface Model {
  name: string;
  version: string;
  adapters?: string[];
  contextTokens: number;
  /** Whether equal requests always produce equal output. */
  deterministic: boolean;
}

export interface DataCentre {
  id: string;
  region: string;
  state: ServiceState;
}

/** Concurrency limits of a backend server. */
export interface ServerCapacity {
  /** Maximum number of concurrent requests when warm. */
  requests: number;
  /** Maximum number of tokens of the running requests when warm. */
  tokens: number;
  /** Maximum number of concurrent requests after a start, while cold. */
  startingRequests: number;
}

export interface BackendServer {
  id: string;
  dataCentre: string;
  /** `host:port` with an IP address as host. */
  address: string;
  models: string[];
  state: ServiceState;
  capacity: ServerCapacity;
  /** Whether the engine rejects requests with an outdated fencing token. */
  checksFencing: boolean;
}

/** An endpoint of a plain service. */
export interface ServiceRoute {
  method: string;
  path: string;
  idempotent: boolean;
}

/** An HTTP service that is not a model server. */
export interface PlainService {
  name: string;
  addresses: string[];
  state: ServiceState;
  routes: ServiceRoute[];
}

/** Contents of the files of a set by file name. */
export interface FileSetFiles {
  'service.json': ServiceFile;
  'classes.json': {classes: RequestClass[]};
  'customers.json': {customers: Customer[]};
  'models.json': {models: Model[]};
  'data-centres.json': {dataCentres: DataCentre[]};
  'backend-servers.json': {backendServers: BackendServer[]};
  'plain-services.json': {plainServices: PlainService[]};
}

export type FileName = keyof FileSetFiles;

/** Identifies a file set; versions are ordered by revision, then by digest. */
export interface FileSetVersion {
  revision: number;
  /** SHA-256 of the canonical JSON of the files in lower-case hexadecimal. */
  digest: string;
}

/** A valid file set with its items indexed by id or name. */
export interface FileSet {
  readonly version: FileSetVersion;
  readonly files: FileSetFiles;
  readonly classes: ReadonlyMap<string, RequestClass>;
  readonly customers: ReadonlyMap<string, Customer>;
  readonly customersByKeyDigest: ReadonlyMap<string, Customer>;
  readonly models: ReadonlyMap<string, Model>;
  readonly dataCentres: ReadonlyMap<string, DataCentre>;
  readonly servers: ReadonlyMap<string, BackendServer>;
  readonly services: ReadonlyMap<string, PlainService>;
}
