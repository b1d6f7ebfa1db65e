/** State of the ticket model: instances, messages, the service, the callers. */
import type {TicketHandOver, TicketTableSnapshot} from '../ticket_table.js';

/** A ticket in the model. */
export interface ModelTicket {
  issuer: number;
  issuerIncarnation: string;
  sequence: number;
  expiresAt: number;
  key: number;
}

/** An instance at one address. */
export interface ModelInstance {
  /** Grows with every replacement. */
  run: number;
  status: 'up' | 'frozen' | 'down';
  table: TicketTableSnapshot;
  /** Keys held here, by key and index of the ticket. */
  keys: Array<[key: string, ticketId: string]>;
}

/**
 * A message on the way. Answers belong to a connection and so to one
 * incarnation; `adopt` reaches whatever runs at the address. Presenting a
 * ticket is a step and no message: a caller may repeat it at any time, which
 * covers the late and the doubled ones.
 */
export type ModelMessage =
  | {type: 'key_granted'; to: string; ticket: number}
  | {type: 'execute'; from: string; ticket: number}
  | {type: 'executed'; to: string; ticket: number}
  | {type: 'adopt'; to: number; handOver: TicketHandOver};

/** Faults that may still happen. */
export interface ModelBudget {
  replacements: number;
  freezes: number;
  duplicates: number;
  handOvers: number;
  expiries: number;
}

/** One state of the model; treated as immutable. */
export interface ModelState {
  now: number;
  instances: readonly ModelInstance[];
  messages: readonly ModelMessage[];
  tickets: readonly ModelTicket[];
  /** Executions at the service, by ticket. */
  executions: readonly number[];
  /** Tickets of which a caller was told that they did not run. */
  toldNotRun: readonly boolean[];
  /** Whether the home of the keys was replaced and has forgotten. */
  hasHomeForgotten: boolean;
  budget: ModelBudget;
}
