/** What the relaying of requests needs: shared dependencies, and the request itself. */
import type {Clock} from '@buckthornbeam/shared';
import type {RequestMemory} from '../memory/request_memory.js';
import type {Customer, RequestMetadata, Route} from '../model.js';
import type {RawHeaders, ServerDialect} from '../ports.js';
import type {CustomerAdmission} from '../state/customer_admission.js';
import type {RequestUrgency} from '../state/request_urgency.js';
import type {RepeatBudgets} from '../state/repeat_budgets.js';
import type {ServerActivity} from '../state/server_activity.js';
import type {ServerSelection} from '../state/server_selection.js';
import type {Admission} from './admission_reason.js';
import type {QuarantineGuard} from './quarantine_guard.js';
import type {ServerConnections} from './server_connections.js';

/** Dependencies that all requests of an instance share. */
export interface RelayContext {
  clock: Clock;
  dialect: ServerDialect;
  connections: ServerConnections;
  selection: ServerSelection;
  activity: ServerActivity;
  budgets: RepeatBudgets;
  /** Divides scarce capacity between customers; undefined if that is off. */
  customers?: CustomerAdmission | undefined;
  /** Largest answer that is buffered, in bytes. */
  maximumAnswerBytes: number;
  quarantine: QuarantineGuard;
  /** Orders requests by urgency; without it they take capacity as they find it. */
  admission?: Admission;
  /** Called without `admission` when no server has capacity for a request. */
  onLack?: (route: Route, now: number) => void;
  random: () => number;
  /** Aborted when the instance ends the requests that are still open. */
  stopSignal: AbortSignal;
}

/** A request with complete body, route and customer. */
export interface AcceptedRequest {
  metadata: RequestMetadata;
  route: Route;
  customer: Customer | undefined;
  urgency: RequestUrgency;
  method: string;
  url: string;
  headers: RawHeaders;
  body: Buffer;
  /** Time of the clock at which the headers arrived, in milliseconds. */
  receivedAt: number;
  /** Aborted when the caller disconnects. */
  disconnectSignal: AbortSignal;
  /** Counts the memory of responses; not counted by default. */
  memory?: RequestMemory;
}
