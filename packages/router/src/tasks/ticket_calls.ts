/** Calls with tickets: forwards each one to the issuer of its ticket. */
import {create} from '@bufbuild/protobuf';
import type {FileSet} from '@buckthornbeam/config';
import {
  computeBodyDigest,
  decodeTicket,
  validateTicketCall,
} from '@buckthornbeam/decisions';
import type {Ticket, TicketCall} from '@buckthornbeam/decisions';
import type {Peer} from '@buckthornbeam/membership';
import {
  ClaimKeyResponseSchema,
  ExecuteTicketResponseSchema,
} from '@buckthornbeam/protocol';
import type {
  AdoptTicketsRequest,
  ClaimKeyRequest,
  ClaimKeyResponse,
  ExecuteTicketRequest,
  ExecuteTicketResponse,
} from '@buckthornbeam/protocol';
import {
  Outcome,
  RouterError,
  rankByRendezvous,
  toRouterError,
} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {Identity} from '../identity.js';
import type {PeerClients} from '../peer_clients.js';
import type {ServiceCall, ServiceClient} from '../service_client.js';
import {createIssuer} from './issuer.js';
import type {TicketAnswer} from './issuer.js';
import {createKeyClaims} from './key_claims.js';
import type {Member} from './member.js';
import {toAdoptRequest, toHandOver} from './ticket_messages.js';

export type {TicketAnswer} from './issuer.js';

/** Options of {@link createTicketCalls}. */
export interface TicketCallsOptions {
  identity: Identity;
  /** Key that authenticates tickets; the same on every instance. */
  ticketKey: string;
  clock: Clock;
  logger: Logger;
  clients: PeerClients;
  member: Member;
  services: ServiceClient;
  getFileSet: () => FileSet;
  isLeaving: () => boolean;
}

/** Issues tickets and executes the calls that carry one. */
export interface TicketCalls {
  /**
   * Returns an encoded ticket that authorises the call; does not execute it.
   * `key` is the caller's idempotency key. Throws `leaving` during a stop.
   */
  issue(customerId: string, call: ServiceCall, key: string): string;
  /** Executes the call here or at the issuer; throws a {@link RouterError}. */
  execute(
    customerId: string,
    ticketText: string,
    call: ServiceCall,
  ): Promise<TicketAnswer>;
  /** Executes a ticket that a peer forwarded; errors go into the response. */
  handleExecute(request: ExecuteTicketRequest): Promise<ExecuteTicketResponse>;
  handleClaimKey(request: ClaimKeyRequest): ClaimKeyResponse;
  handleAdopt(request: AdoptTicketsRequest): {adopted: boolean};
  /**
   * Refuses new tickets, waits for running calls and sends the ticket table to
   * a successor. Does not throw; a failure is logged as `tickets_lost`.
   */
  handOver(): Promise<void>;
  /** Describes running calls, which an end of the process would cut off. */
  describePending(): string;
}

/** Peers, in rendezvous order, that are tried as successor of an issuer. */
const MAXIMUM_SUCCESSORS = 3;

const HAND_OVER_TIMEOUT_MS = 2000;

function toTicketCall(customerId: string, call: ServiceCall): TicketCall {
  const {serviceName, method, path, body} = call;
  const bodyDigest = computeBodyDigest(body);
  return {customerId, serviceName, method, path, bodyDigest};
}

/** Whether the answering instance does not hold the ticket or is stopping. */
function isNoLongerHolder({code, replayed}: ExecuteTicketResponse): boolean {
  return !replayed && (code === 'ticket_issuer_gone' || code === 'leaving');
}

export function createTicketCalls(options: TicketCallsOptions): TicketCalls {
  const {identity, ticketKey, clients, member, logger} = options;
  const keyClaims = createKeyClaims(options);
  const issuer = createIssuer({...options, keyClaims});

  function toAnswer(answer: ExecuteTicketResponse): TicketAnswer {
    return {...answer, outcome: answer.outcome as Outcome};
  }

  async function sendTicket(
    peer: Peer,
    request: Omit<ExecuteTicketRequest, '$typeName'>,
  ): Promise<ExecuteTicketResponse> {
    const client = clients.getClient(peer.peerAddress);
    const {maximumRequestMs} = options.getFileSet().files['service.json'];
    try {
      return await client.ticket.executeTicket(request, {
        timeoutMs: maximumRequestMs,
      });
    } catch (error) {
      // The outcome is unknown whatever the failure: an earlier presentation of
      // the ticket may have been executed.
      throw new RouterError(
        'ticket_issuer_unreachable',
        `no answer from ${peer.id}: ${(error as Error).message}`,
        {outcome: Outcome.UNKNOWN},
      );
    }
  }

  /**
   * Lists the issuer first, then the peers that may have adopted its tickets.
   */
  function listExecutors(ticket: Ticket): Peer[] {
    const peers = member.listPeers();
    const ids = peers.map(peer => peer.id);
    const ranked = rankByRendezvous(ticket.issuerIncarnation, ids)
      .filter(id => id !== ticket.issuerId)
      .slice(0, MAXIMUM_SUCCESSORS);
    return [ticket.issuerId, ...ranked].flatMap(
      id => peers.find(peer => peer.id === id) ?? [],
    );
  }

  /**
   * Tries the possible executors in turn. All but the holder of the ticket
   * answer `ticket_issuer_gone` or `leaving`, so any other answer is the
   * result.
   */
  async function forwardTicket(
    ticket: Ticket,
    request: Omit<ExecuteTicketRequest, '$typeName'>,
  ): Promise<TicketAnswer> {
    let unreachableError: unknown;
    for (const peer of listExecutors(ticket)) {
      try {
        const answer = await sendTicket(peer, request);
        if (!isNoLongerHolder(answer)) {
          return toAnswer(answer);
        }
      } catch (error) {
        unreachableError ??= error;
      }
    }
    throw (
      unreachableError ??
      new RouterError(
        'ticket_issuer_gone',
        `no instance holds the tickets of issuer ${ticket.issuerId}`,
        {
          outcome: Outcome.UNKNOWN,
        },
      )
    );
  }

  async function executeForwarded(
    request: ExecuteTicketRequest,
  ): Promise<TicketAnswer> {
    const ticket = decodeTicket(request.ticket, ticketKey);
    validateTicketCall(ticket, toTicketCall(request.customerId, request));
    return issuer.execute(ticket, request);
  }

  async function sendHandOver(peer: Peer): Promise<void> {
    const client = clients.getClient(peer.peerAddress);
    for (const handOver of issuer.handOver(peer.incarnation!)) {
      const {adopted} = await client.ticket.adoptTickets(
        toAdoptRequest(handOver),
        {timeoutMs: HAND_OVER_TIMEOUT_MS},
      );
      logger.info('tickets_handed_over', {
        incarnation: handOver.incarnation,
        successor: peer.id,
        records: handOver.records.length,
        adopted,
      });
    }
  }

  /**
   * Finds the one successor. There must not be a second one, which could
   * execute a ticket that the first has already executed.
   */
  function findSuccessor(): Peer | undefined {
    const peers = member
      .listPeers()
      .filter(
        peer =>
          peer.state === 'active' &&
          peer.ready &&
          peer.incarnation !== undefined,
      );
    const [first] = rankByRendezvous(
      identity.incarnation,
      peers.map(peer => peer.id),
    );
    return peers.find(peer => peer.id === first);
  }

  return {
    issue: (customerId, call, key) => {
      if (options.isLeaving()) {
        throw new RouterError(
          'leaving',
          'the instance is stopping and issues no more tickets',
        );
      }
      return issuer.issue(toTicketCall(customerId, call), key);
    },
    execute: async (customerId, ticketText, call) => {
      const ticket = decodeTicket(ticketText, ticketKey);
      validateTicketCall(ticket, toTicketCall(customerId, call));
      return issuer.hasIncarnation(ticket.issuerIncarnation)
        ? issuer.execute(ticket, call)
        : forwardTicket(ticket, {
            ...call,
            ticket: ticketText,
            customerId,
            idempotencyKey: ticket.idempotencyKey,
          });
    },
    handleExecute: async request => {
      try {
        const answer = await executeForwarded(request);
        return create(ExecuteTicketResponseSchema, answer);
      } catch (error) {
        const {code, message: detail, outcome} = toRouterError(error);
        return create(ExecuteTicketResponseSchema, {code, detail, outcome});
      }
    },
    handleClaimKey: request => {
      const {isGranted: granted, holderTicketId} =
        keyClaims.handleClaim(request);
      return create(ClaimKeyResponseSchema, {granted, holderTicketId});
    },
    handleAdopt: request => ({
      adopted: issuer.adopt(toHandOver(request)),
    }),
    handOver: async () => {
      await issuer.drain();
      const peer = findSuccessor();
      if (!peer) {
        logger.warn('tickets_lost', {detail: 'no successor is ready'});
        return;
      }
      try {
        await sendHandOver(peer);
      } catch (error) {
        const detail = (error as Error).message;
        logger.warn('tickets_lost', {successor: peer.id, detail});
      }
    },
    describePending: () => {
      const count = issuer.countRunning();
      return count > 0 ? `${count} calls with tickets` : '';
    },
  };
}
