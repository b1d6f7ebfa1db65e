/** Types of the operators' file set; the JSON schemas hold the same shapes. */

/** Whether operators have a data centre or a backend server in service. */
export const ServiceState = {IN: 'in', OUT: 'out'} as const;
export type ServiceState = (typeof ServiceState)[keyof typeof ServiceState];

/** The group of instances that a backend server's owner is chosen from. */
export const OwnershipScope = {
  REGION: 'region',
  DATA_CENTRE: 'data_centre',
} as const;
export type OwnershipScope =
  (typeof OwnershipScope)[keyof typeof OwnershipScope];

/** Contents of service.json. */
export interface ServiceFile {
  name: string;
  /** Grows with every accepted file set. */
  revision: number;
  /** Digest of the set that this one was made from; null for the first. */
  basedOn: string | null;
  ownershipScope: OwnershipScope;
  /** No request runs longer than this, in milliseconds. */
  maximumRequestMs: number;
}

/** Latency targets of a class, in milliseconds. */
export interface ClassTargets {
  firstTokenMs: number;
  betweenTokensMs: number;
  completionMs: number;
}

/** A class of requests. */
export interface RequestClass {
  name: string;
  /** 1 is the highest priority, 4 the lowest. */
  tier: number;
  targets: ClassTargets;
  /** Least share of dispatched work, between 0 and 1. */
  minimumShare: number;
  maximumOutputTokens: number;
  /** Most retries as a share of requests, between 0 and 1. */
  retryBudget: number;
}

/** A customer and its rate. */
export interface Customer {
  id: string;
  /** SHA-256 of the API key, lower-case hexadecimal. */
  apiKeyDigest: string;
  tokensPerSecond: number;
  burstTokens: number;
  /** Weight in fair queueing. */
  weight: number;
}

/** A model that backend servers hold. */
export interface Model {
  name: string;
  version: string;
  adapters?: string[];
  contextTokens: number;
  /** The same prompt always gives the same answer. */
  deterministic: boolean;
}

/** A data centre. */
export interface DataCentre {
  id: string;
  region: string;
  state: ServiceState;
}

/** What a backend server bears at once. */
export interface ServerCapacity {
  /** Requests at once when warm. */
  requests: number;
  /** Tokens of running work at once when warm. */
  tokens: number;
  /** Requests at once just after a start. */
  startingRequests: number;
}

/** A backend server. */
export interface BackendServer {
  id: string;
  dataCentre: string;
  /** `host:port` with an IP number. */
  address: string;
  models: string[];
  state: ServiceState;
  capacity: ServerCapacity;
  /** Whether the engine refuses orders with an old fencing number. */
  checksFencing: boolean;
}

/** One call of a plain service. */
export interface ServiceRoute {
  method: string;
  path: string;
  idempotent: boolean;
}

/** A plain service beside the model engines. */
export interface PlainService {
  name: string;
  addresses: string[];
  state: ServiceState;
  routes: ServiceRoute[];
}

/** The whole file set, by file name. */
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

/** Position of a file set in the total order of configurations. */
export interface FileSetVersion {
  revision: number;
  /** SHA-256 of the canonical files, lower-case hexadecimal. */
  digest: string;
}

/** A checked file set with its look-up tables. */
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
