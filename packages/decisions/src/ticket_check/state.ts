/** State of the ticket model: instances, messages, service and callers. */
import type {TicketHandOver, TicketTableSnapshot} from '../ticket_table.js';

export interface ModelTicket {
  /** Index of the instance. */
  issuer: number;
  issuerIncarnation: string;
  sequence: number;
  expiresAt: number;
  key: number;
}

/** An instance at one address. */
export interface ModelInstance {
  /** Incremented at every replacement. */
  run: number;
  status: 'up' | 'frozen' | 'down';
  table: TicketTableSnapshot;
  /** Entries of the key registry. */
  keys: Array<[key: string, ticketId: string]>;
}

/**
 * A message in transit. Answers belong to a connection and thus to one
 * incarnation; `adopt` is delivered to any incarnation at the address. A caller
 * presenting a ticket is modelled as a step instead of a message: it can happen
 * at any time, which covers delayed and duplicated messages.
 */
export type ModelMessage =
  | {type: 'key_granted'; to: string; ticket: number}
  | {type: 'execute'; from: string; ticket: number}
  | {type: 'executed'; to: string; ticket: number}
  | {type: 'adopt'; to: number; handOver: TicketHandOver};

/** Number of faults that may still occur, by kind. */
export interface FaultBudget {
  replacements: number;
  freezes: number;
  duplicates: number;
  handOvers: number;
  expiries: number;
}

/** A state of the model; immutable. */
export interface ModelState {
  now: number;
  instances: readonly ModelInstance[];
  messages: readonly ModelMessage[];
  tickets: readonly ModelTicket[];
  /** Number of executions at the service, by ticket. */
  executions: readonly number[];
  /** Whether a caller received NOT_RUN, by ticket. */
  reportedNotRun: readonly boolean[];
  /** Whether the instance with the key registry was replaced. */
  isKeyRegistryLost: boolean;
  budget: FaultBudget;
}
