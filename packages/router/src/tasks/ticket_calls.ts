/** Calls with tickets: each goes to the issuer of its ticket. */
import {decodeTicket} from '@buckthornbeam/decisions';
import type {Ticket, TicketResult} from '@buckthornbeam/decisions';
import {Outcome, RouterError} from '@buckthornbeam/shared';
import type {Identity} from '../identity.js';
import type {PeerClients} from '../peer_clients.js';
import type {Issuer, ServiceCall} from './issuer.js';
import type {Member} from './member.js';

/** Result of a ticket; `replayed` when an earlier call executed it. */
export type TicketAnswer = TicketResult & {replayed: boolean};

/** Options of {@link createTicketCalls}. */
export interface TicketCallsOptions {
  identity: Identity;
  ticketKey: string;
  clients: PeerClients;
  member: Member;
  issuer: Issuer;
}

/** Executes calls that carry a ticket. */
export interface TicketCalls {
  execute(
    customerId: string,
    ticketText: string,
    call: ServiceCall,
  ): Promise<TicketAnswer>;
}

function checkTicket(
  ticket: Ticket,
  customerId: string,
  call: ServiceCall,
): void {
  if (
    ticket.customerId !== customerId ||
    ticket.serviceName !== call.serviceName
  ) {
    throw new RouterError('ticket_invalid', 'the ticket is for another call');
  }
}

/** Creates the ticket calls of one instance. */
export function createTicketCalls(options: TicketCallsOptions): TicketCalls {
  const {identity, ticketKey, clients, member, issuer} = options;

  async function forwardToIssuer(
    ticket: Ticket,
    ticketText: string,
    call: ServiceCall,
  ): Promise<TicketAnswer> {
    const peer = member.findPeer(ticket.issuerId);
    if (!peer) {
      throw new RouterError(
        'ticket_issuer_gone',
        `${ticket.issuerId} is gone`,
        {outcome: Outcome.UNKNOWN},
      );
    }
    const client = clients.getClient(peer.peerAddress);
    const response = await client.ticket.executeTicket({
      ticket: ticketText,
      customerId: ticket.customerId,
      serviceName: call.serviceName,
      path: call.path,
      contentType: call.contentType,
      body: call.body,
    });
    return {...response, outcome: response.outcome as Outcome};
  }

  return {
    execute: async (customerId, ticketText, call) => {
      const ticket = decodeTicket(ticketText, ticketKey);
      checkTicket(ticket, customerId, call);
      return ticket.issuerId === identity.instanceId
        ? issuer.execute(ticket, call)
        : forwardToIssuer(ticket, ticketText, call);
    },
  };
}
