/** Claims of idempotency keys at their rendezvous homes. */
import {createKeyRegistry, formatTicketId} from '@buckthornbeam/decisions';
import type {KeyClaim, Ticket} from '@buckthornbeam/decisions';
import type {ClaimKeyRequest} from '@buckthornbeam/protocol';
import {Outcome, RouterError, rankByRendezvous} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {Identity} from '../identity.js';
import type {PeerClients} from '../peer_clients.js';
import type {Member} from './member.js';

/** Options of {@link createKeyClaims}. */
export interface KeyClaimsOptions {
  identity: Identity;
  clock: Clock;
  logger: Logger;
  clients: PeerClients;
  member: Member;
}

/** Keys held here, and claims at the homes of others. */
export interface KeyClaims {
  /** Returns when the ticket holds its key; throws a {@link RouterError}. */
  claim(ticket: Ticket): Promise<void>;
  /** Frees the key of a ticket that provably did not run. */
  release(ticket: Ticket): void;
  /** Answers a claim of a peer. */
  handleClaim(request: ClaimKeyRequest): KeyClaim;
}

const CLAIM_TIMEOUT_MS = 1000;

type KeyRequest = Pick<
  ClaimKeyRequest,
  'customerId' | 'idempotencyKey' | 'ticketId' | 'release'
>;

function makeRequest(ticket: Ticket, release: boolean): KeyRequest {
  const {customerId, idempotencyKey} = ticket;
  const ticketId = formatTicketId(ticket);
  return {customerId, idempotencyKey, ticketId, release};
}

function formatKey({customerId, idempotencyKey}: KeyRequest): string {
  return `${customerId}\n${idempotencyKey}`;
}

/** Creates the key claims of one instance. */
export function createKeyClaims(options: KeyClaimsOptions): KeyClaims {
  const {identity, clock, logger, clients, member} = options;
  const home = createKeyRegistry();

  function claimHere(request: KeyRequest): KeyClaim {
    const key = formatKey(request);
    if (request.release) {
      home.release(key, request.ticketId);
      return {isGranted: false, holderTicketId: ''};
    }
    return home.claim(key, request.ticketId, clock.now());
  }

  async function claimAtHome(request: KeyRequest): Promise<KeyClaim> {
    const peers = member.listPeers().filter(peer => peer.state === 'active');
    const ids = [identity.instanceId, ...peers.map(peer => peer.id)];
    const [homeId] = rankByRendezvous(formatKey(request), ids);
    const peer = peers.find(item => item.id === homeId);
    if (!peer) {
      return claimHere(request);
    }
    const client = clients.getClient(peer.peerAddress);
    const answer = await client.ticket.claimKey(request, {
      timeoutMs: CLAIM_TIMEOUT_MS,
    });
    const {granted: isGranted, holderTicketId} = answer;
    return {isGranted, holderTicketId};
  }

  async function claimOrExplain(ticket: Ticket): Promise<KeyClaim> {
    try {
      return await claimAtHome(makeRequest(ticket, false));
    } catch (error) {
      // The ticket stays valid, so "not run" would not hold for long.
      throw new RouterError(
        'ticket_issuer_unreachable',
        `the home of the key gave no answer: ${(error as Error).message}`,
        {outcome: Outcome.UNKNOWN, retryAfterMs: CLAIM_TIMEOUT_MS},
      );
    }
  }

  return {
    claim: async ticket => {
      const {isGranted, holderTicketId} = await claimOrExplain(ticket);
      if (!isGranted) {
        throw new RouterError(
          'key_in_use',
          `ticket ${holderTicketId} holds the key`,
          {outcome: Outcome.UNKNOWN},
        );
      }
    },
    release: ticket => {
      claimAtHome(makeRequest(ticket, true)).catch(error =>
        logger.debug('key_release_failed', {
          ticket: formatTicketId(ticket),
          detail: (error as Error).message,
        }),
      );
    },
    handleClaim: request => claimHere(request),
  };
}
