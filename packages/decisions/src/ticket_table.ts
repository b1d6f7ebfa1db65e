/** The issuer's table: each ticket is executed once, by one attempt. */
import type {Outcome} from '@buckthornbeam/shared';

/** Stored result of a call. */
export interface TicketResult {
  outcome: Outcome;
  code: string;
  detail: string;
  status: number;
  contentType: string;
  body: Uint8Array;
}

/** States of a ticket. */
export const TicketState = {
  ISSUED: 'issued',
  RUNNING: 'running',
  DONE: 'done',
} as const;
export type TicketState = (typeof TicketState)[keyof typeof TicketState];

interface TicketEntry {
  state: TicketState;
  result?: TicketResult;
}

/** What the issuer has to do with a presented ticket. */
export type TicketDecision =
  | {type: 'execute'}
  | {type: 'wait'}
  | {type: 'replay'; result: TicketResult}
  | {type: 'unknown'};

/** The table of one issuer incarnation. */
export interface TicketTable {
  /** Adds a ticket that was just issued. */
  add(ticketId: string): void;
  /** Decides on a presented ticket; `execute` is answered once only. */
  claim(ticketId: string): TicketDecision;
  /** Stores the result of the one execution. */
  store(ticketId: string, result: TicketResult): void;
}

/** Creates an empty table. */
export function createTicketTable(): TicketTable {
  const entries = new Map<string, TicketEntry>();
  return {
    add: ticketId => {
      entries.set(ticketId, {state: TicketState.ISSUED});
    },
    claim: ticketId => {
      const entry = entries.get(ticketId);
      if (!entry) {
        return {type: 'unknown'};
      }
      if (entry.result) {
        return {type: 'replay', result: entry.result};
      }
      if (entry.state === TicketState.RUNNING) {
        return {type: 'wait'};
      }
      entry.state = TicketState.RUNNING;
      return {type: 'execute'};
    },
    store: (ticketId, result) => {
      entries.set(ticketId, {state: TicketState.DONE, result});
    },
  };
}
