/** What a request needs to wait for a server by its urgency, and what it gets. */
import type {RequestMetadata, Route} from '../model.js';
import type {
  SelectedServer,
  SelectionLimits,
  ServerSelection,
} from '../state/server_selection.js';

/** Order in which the waiting requests of an instance take free capacity. */
export const AdmissionOrder = {
  /** The one that asks first; more urgent ones do not go ahead. */
  ARRIVAL: 'arrival',
  URGENCY: 'urgency',
} as const;
export type AdmissionOrder =
  (typeof AdmissionOrder)[keyof typeof AdmissionOrder];

/** What a request waited for last. */
export const AdmissionReason = {
  NONE: 'none',
  /** No server had capacity for it. */
  CAPACITY: 'capacity',
  /** A more urgent request of this instance waited for the same capacity. */
  ORDER: 'order',
  /** More urgent requests lacked capacity lately, at any instance. */
  SHORTAGE: 'shortage',
  /** The rates that servers state allow no request yet. */
  LIMIT: 'limit',
  /** It can no longer end in time. */
  LATE: 'late',
} as const;
export type AdmissionReason =
  (typeof AdmissionReason)[keyof typeof AdmissionReason];

export interface AdmittedRequest {
  route: Route;
  metadata: RequestMetadata;
  /** Position in the order of urgency: 0 is the first, 1 the last. */
  urgencyPosition: number;
  /** Ids of servers that must not be chosen. */
  excluded: ReadonlySet<string>;
  receivedAt: number;
  deadlineAt: number;
  /** Whether the caller has received a part of the answer. */
  hasBegun: boolean;
  buildLimits: (now: number) => SelectionLimits;
  /** Chooses a server that is available now. */
  select: (limits: SelectionLimits, now: number) => SelectedServer | undefined;
  selection: Pick<
    ServerSelection,
    'addWaiting' | 'computeLimitWait' | 'findLack'
  >;
  /** Aborted when the caller disconnects. */
  disconnectSignal: AbortSignal;
  stopSignal: AbortSignal;
}

export interface AdmissionResult {
  /** Undefined if no server was available in time. */
  selected: SelectedServer | undefined;
  /** Time until limited rates allow the request, if only they keep it back, in ms. */
  limitWaitMs: number | undefined;
  waitedMs: number;
  reason: AdmissionReason;
}

/** A request that is refused. */
export interface RefusedAdmission {
  route: Route;
  urgencyPosition: number;
  deadlineAt: number;
  /** Time until a request may be sent, in milliseconds, if that is known. */
  availableInMs: number | undefined;
}

export interface Admission {
  /** Waits until the request's turn has come and a server is available. */
  wait(request: AdmittedRequest): Promise<AdmissionResult>;
  /** Adds what holds back a request that is sent to a second server at once. */
  addHolds(
    route: Route,
    metadata: RequestMetadata,
    limits: SelectionLimits,
    now: number,
  ): SelectionLimits;
  /** Computes the delay after which the caller should retry, in milliseconds. */
  computeRetryAfter(request: RefusedAdmission): number;
  countWaiting(): number;
}
