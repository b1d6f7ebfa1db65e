/** Interfaces that a deployment implements for the gateway. */
import type {ServerStatement} from '@buckthornbeam/decisions';
import type {
  BackendServer,
  RequestMetadata,
  ServiceConfiguration,
} from './model.js';

/** Alternating header names and values, as in `rawHeaders` of node:http. */
export type RawHeaders = readonly string[];

/** Values that the gateway adds to the headers of a forwarded request. */
export interface ForwardingFields {
  /** Remaining time of the request. */
  remainingMs: number;
  /** Id of the server incarnation that must run the request. */
  serverId: string;
  customerName: string | undefined;
  /** 0 is the most urgent; undefined if the server has no priority queue. */
  urgency: number | undefined;
  /** `host:port` of the server whose KV cache of the prompt prefix is copied first. */
  copySource: string | undefined;
  /** Id of the event after which a resumed stream continues. */
  lastEventId: string | undefined;
}

/** Metadata of a backend server's answer, from its status and headers. */
export interface AnswerMetadata {
  requestId: string | undefined;
  /** The server declares that it did not run the request. */
  isNotRun: boolean;
  /** The answer comes from another incarnation at the same address. */
  isOtherServer: boolean;
  /** The answer has the server's signature. */
  isSealed: boolean;
  /** The body was transformed on the way, for example compressed. */
  isTransformed: boolean;
  /** What the server states about itself. */
  statement: ServerStatement;
}

/** Decodes callers' requests and encodes answers to address queries. */
export interface CallerDialect {
  /** @throws RouterError `invalid_request` */
  readRequest(url: string, headers: RawHeaders): RequestMetadata;
  /** Whether the URL queries the addresses of instances. */
  isAddressQuery(url: string): boolean;
  encodeAddresses(addresses: readonly string[], ttlSeconds: number): string;
  readonly readinessPath: string;
}

/** Encodes requests to backend servers and decodes their answers. */
export interface ServerDialect {
  /** Builds the end-to-end headers of a forwarded request. */
  buildHeaders(received: RawHeaders, fields: ForwardingFields): string[];
  readAnswer(
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): AnswerMetadata;
}

/** A decoded change of one store entry. */
export type StoreChange =
  | {
      type: 'configuration';
      configuration: ServiceConfiguration;
      /** Text in the store, forwarded to peers unchanged. */
      text: string;
    }
  | {type: 'evacuation'; dataCentre: string; isEvacuated: boolean}
  | {type: 'server'; server: BackendServer}
  | {type: 'server_gone'; serverId: string};

/** One answer of the store: a full listing or the changes since a revision. */
export interface StoreSnapshot {
  /** Position (`buildStorePosition`) up to which the changes are complete. */
  revision: number;
  changes: readonly StoreChange[];
  /** Whether `changes` lists all entries, so that unlisted ones are gone. */
  isFull: boolean;
}

/** Read-only client of the deployment's store. */
export interface StoreReader {
  /** Fetches all entries. @throws RouterError `platform_unavailable` */
  fetchAll(signal: AbortSignal): Promise<StoreSnapshot>;
  /**
   * Waits up to `waitMs` for changes after a position.
   * @throws RouterError `platform_unavailable`, `platform_history_lost` also if the
   *   store was restored from an older copy since
   */
  watchChanges(
    revision: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<StoreSnapshot>;
  /**
   * Decodes a configuration that a peer forwarded.
   * @throws RouterError `invalid_file_set`
   */
  decodeConfiguration(text: string): ServiceConfiguration;
  close(): void;
}
