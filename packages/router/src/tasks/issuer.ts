/**
 * The issuer task: issues tickets, and is the only instance to execute those of
 * its own incarnation and of the incarnations that it has adopted.
 */
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
  /** Key that authenticates tickets; the same on every instance. */
  ticketKey: string;
  clock: Clock;
  logger: Logger;
  services: ServiceClient;
  keyClaims: KeyClaims;
}

/** Result of a ticket; `replayed` if an earlier presentation executed it. */
export type TicketAnswer = TicketResult & {replayed: boolean};

/** The issuer task. */
export interface Issuer {
  /**
   * Returns an encoded ticket that authorises the call; does not execute it.
   */
  issue(call: TicketCall, idempotencyKey: string): string;
  /**
   * Executes the call of a ticket, or returns the stored result. Throws a
   * {@link RouterError} if the ticket or its idempotency key is refused.
   */
  execute(ticket: Ticket, call: ServiceCall): Promise<TicketAnswer>;
  /** Whether tickets of the incarnation are executed on this instance. */
  hasIncarnation(incarnation: string): boolean;
  countRunning(): number;
  /** Refuses new tickets and resolves once the running calls have ended. */
  drain(): Promise<void>;
  /** Closes the ticket table and returns its contents for the successor. */
  handOver(successorIncarnation: string): TicketHandOver[];
  /** Returns false if the tickets are refused, such as already adopted ones. */
  adopt(handOver: TicketHandOver): boolean;
}

const DRAIN_POLL_INTERVAL_MS = 10;

export function createIssuer(options: IssuerOptions): Issuer {
  const {identity, ticketKey, clock, logger, services, keyClaims} = options;
  const {incarnation} = identity;
  const table = createTicketTable({incarnation});
  const runningCalls = new Map<string, Promise<TicketResult>>();

  async function executeOnce(
    ticket: Ticket,
    call: ServiceCall,
  ): Promise<TicketResult> {
    const result = await services.callOnce(call);
    table.store(ticket, result);
    const id = formatTicketId(ticket);
    runningCalls.delete(id);
    if (result.outcome === Outcome.NOT_RUN) {
      keyClaims.release(ticket);
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
      return {...(await runningCalls.get(id)!), replayed: true};
    }
    const pending = executeOnce(ticket, call);
    runningCalls.set(id, pending);
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
        await keyClaims.claim(ticket);
      }
      return claimAndExecute(ticket, call);
    },
    hasIncarnation: issuer => table.hasIncarnation(issuer),
    countRunning: () => runningCalls.size,
    drain: async () => {
      table.close();
      while (runningCalls.size > 0) {
        await waitFor(DRAIN_POLL_INTERVAL_MS);
      }
    },
    handOver: successor => table.handOver(successor, clock.now()),
    adopt: handOver => table.adopt(handOver, clock.now()),
  };
}
