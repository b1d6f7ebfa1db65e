/** What a deployment provides to the gateway. */
import type {
  BackendServer,
  RequestFacts,
  ServiceConfiguration,
} from './model.js';

/** Raw header lines: names and values alternate, as node:http gives them. */
export type RawHeaders = readonly string[];

/** Headers that the gateway adds to a request towards a backend server. */
export interface ForwardingFields {
  /** Time left of the request, in milliseconds. */
  deadlineLeftMs: number;
  /** Incarnation that must run the request. */
  serverId: string;
  customerName: string | undefined;
  /** 0 is the most urgent; undefined where the server has no queue by urgency. */
  urgency: number | undefined;
  /** Server from which the prompt's memory is copied first, `host:port`. */
  copySource: string | undefined;
  /** Event after which a resumed stream goes on. */
  lastEventId: string | undefined;
}

/** What the status and headers of a backend server's answer say. */
export interface AnswerFacts {
  requestId: string | undefined;
  /** The server states that it did not run the request. */
  isNotRun: boolean;
  /** Another incarnation has the address. */
  isOtherServer: boolean;
  /** The answer bears the server's signature. */
  isSealed: boolean;
  /** The body is not as the server made it. */
  isTransformed: boolean;
}

/** Reads requests of callers. */
export interface CallerDialect {
  /** @throws RouterError `invalid_request` */
  readRequest(url: string, headers: RawHeaders): RequestFacts;
  /** Reads a query for addresses. */
  isAddressQuery(url: string): boolean;
  encodeAddresses(addresses: readonly string[], ttlSeconds: number): string;
  readonly readinessPath: string;
}

/** Writes requests to backend servers and reads their answers. */
export interface ServerDialect {
  /** Builds the end-to-end headers of a forwarded request. */
  buildHeaders(received: RawHeaders, fields: ForwardingFields): string[];
  readAnswer(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): AnswerFacts;
}

/** A change of what the store holds, decoded. */
export type StoreChange =
  | {
      type: 'configuration';
      configuration: ServiceConfiguration;
      /** As the store holds it, to pass on to peers. */
      text: string;
    }
  | {type: 'evacuation'; dataCentre: string; isEvacuated: boolean}
  | {type: 'server'; server: BackendServer}
  | {type: 'server_gone'; serverId: string};

/** One answer of the store. */
export interface StoreReading {
  /** Revision up to which the changes are complete. */
  revision: number;
  changes: readonly StoreChange[];
  /** The reading is the whole state, not what changed since the last one. */
  isWhole: boolean;
}

/** Reads the store of the deployment; it never writes. */
export interface StoreReader {
  /** Reads everything. @throws RouterError `platform_unavailable` */
  fetchAll(signal: AbortSignal): Promise<StoreReading>;
  /**
   * Waits for changes after a revision, at most for `waitMs`.
   * @throws RouterError `platform_unavailable`, `platform_history_lost`
   */
  watchChanges(
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<StoreReading>;
  /** Decodes a configuration that a peer passed on. */
  decodeConfiguration(text: string): ServiceConfiguration;
  close(): void;
}
