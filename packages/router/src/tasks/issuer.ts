/** The issuer task: sole executor of the tickets that carry its incarnation. */
import {
  createTicketTable,
  encodeTicket,
  formatTicketId,
} from '@buckthornbeam/decisions';
import type {
  Ticket,
  TicketCall,
  TicketHandOver,
  TicketResult,
} from '@buckthornbeam/decisions';
import {Outcome, RouterError, waitFor} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {Identity} from '../identity.js';
import type {ServiceCall, ServiceClient} from '../service_client.js';
import type {KeyClaims} from './key_claims.js';

/** Options of {@link createIssuer}. */
export interface IssuerOptions {
  identity: Identity;
  ticketKey: string;
  clock: Clock;
  logger: Logger;
  services: ServiceClient;
  keys: KeyClaims;
}

/** Result of a ticket; `replayed` when an earlier call executed it. */
export type TicketAnswer = TicketResult & {replayed: boolean};

/** The issuer task. */
export interface Issuer {
  /** Issues a ticket for a call; nothing runs. */
  issue(call: TicketCall, idempotencyKey: string): string;
  /** Executes the call of a ticket, or returns its stored result. */
  execute(ticket: Ticket, call: ServiceCall): Promise<TicketAnswer>;
  hasIncarnation(incarnation: string): boolean;
  countRunning(): number;
  /** Refuses new claims and returns once the running calls have ended. */
  drain(): Promise<void>;
  handOver(successorIncarnation: string): TicketHandOver[];
  adopt(handOver: TicketHandOver): boolean;
}

const DRAIN_POLL_MS = 10;

/** Creates the issuer task. */
export function createIssuer(options: IssuerOptions): Issuer {
  const {identity, ticketKey, clock, logger, services, keys} = options;
  const {incarnation} = identity;
  const table = createTicketTable({incarnation});
  const running = new Map<string, Promise<TicketResult>>();

  async function executeOnce(
    ticket: Ticket,
    call: ServiceCall,
  ): Promise<TicketResult> {
    const result = await services.callOnce(call);
    table.store(ticket, result);
    const id = formatTicketId(ticket);
    running.delete(id);
    if (result.outcome === Outcome.NOT_RUN) {
      keys.release(ticket);
    }
    logger.info('ticket_executed', {
      ticket: id,
      outcome: result.outcome,
      status: result.status,
    });
    return result;
  }

  async function claimAndExecute(
    ticket: Ticket,
    call: ServiceCall,
  ): Promise<TicketAnswer> {
    const id = formatTicketId(ticket);
    const decision = table.claim(ticket, clock.now());
    if (decision.type === 'refuse') {
      const {code, detail, outcome} = decision;
      throw new RouterError(code, detail, {outcome});
    }
    if (decision.type === 'replay') {
      return {...decision.result, replayed: true};
    }
    if (decision.type === 'wait') {
      return {...(await running.get(id)!), replayed: true};
    }
    const pending = executeOnce(ticket, call);
    running.set(id, pending);
    return {...(await pending), replayed: false};
  }

  return {
    issue: (call, idempotencyKey) =>
      encodeTicket(
        {
          ...call,
          ...table.issue(clock.now()),
          issuerId: identity.instanceId,
          issuerIncarnation: incarnation,
          idempotencyKey,
        },
        ticketKey,
      ),
    execute: async (ticket, call) => {
      const isOwn = table.hasIncarnation(ticket.issuerIncarnation);
      if (isOwn && !table.hasRecord(ticket)) {
        await keys.claim(ticket);
      }
      return claimAndExecute(ticket, call);
    },
    hasIncarnation: issuer => table.hasIncarnation(issuer),
    countRunning: () => running.size,
    drain: async () => {
      table.close();
      while (running.size > 0) {
        await waitFor(DRAIN_POLL_MS);
      }
    },
    handOver: successor => table.handOver(successor, clock.now()),
    adopt: handOver => table.adopt(handOver, clock.now()),
  };
}
