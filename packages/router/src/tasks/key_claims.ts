/**
 * Claims of idempotency keys. Rendezvous hashing assigns each key to one
 * instance, its registry, which records the ticket that holds the key.
 */
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

/** Claims keys at their registries, and is the registry of some keys itself. */
export interface KeyClaims {
  /**
   * Resolves once the ticket holds its key. Throws `key_in_use` if another
   * ticket holds it and `ticket_issuer_unreachable` if the registry does not
   * answer.
   */
  claim(ticket: Ticket): Promise<void>;
  /** Releases the key of a ticket that was definitely not executed. */
  release(ticket: Ticket): void;
  /** Handles a claim or a release that a peer sent to this registry. */
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

export function createKeyClaims(options: KeyClaimsOptions): KeyClaims {
  const {identity, clock, logger, clients, member} = options;
  const registry = createKeyRegistry();

  function handleLocally(request: KeyRequest): KeyClaim {
    const key = formatKey(request);
    if (request.release) {
      registry.release(key, request.ticketId);
      return {isGranted: false, holderTicketId: ''};
    }
    return registry.claim(key, request.ticketId, clock.now());
  }

  async function sendToRegistry(request: KeyRequest): Promise<KeyClaim> {
    const peers = member.listPeers().filter(peer => peer.state === 'active');
    const ids = [identity.instanceId, ...peers.map(peer => peer.id)];
    const [registryId] = rankByRendezvous(formatKey(request), ids);
    const peer = peers.find(item => item.id === registryId);
    if (!peer) {
      return handleLocally(request);
    }
    const client = clients.getClient(peer.peerAddress);
    const answer = await client.ticket.claimKey(request, {
      timeoutMs: CLAIM_TIMEOUT_MS,
    });
    const {granted: isGranted, holderTicketId} = answer;
    return {isGranted, holderTicketId};
  }

  async function claimKey(ticket: Ticket): Promise<KeyClaim> {
    try {
      return await sendToRegistry(makeRequest(ticket, false));
    } catch (error) {
      // Not `not_run`: the ticket stays valid and may still be executed.
      throw new RouterError(
        'ticket_issuer_unreachable',
        `the registry of the idempotency key did not answer: ${(error as Error).message}`,
        {outcome: Outcome.UNKNOWN, retryAfterMs: CLAIM_TIMEOUT_MS},
      );
    }
  }

  return {
    claim: async ticket => {
      const {isGranted, holderTicketId} = await claimKey(ticket);
      if (!isGranted) {
        throw new RouterError(
          'key_in_use',
          `ticket ${holderTicketId} holds the idempotency key`,
          {outcome: Outcome.UNKNOWN},
        );
      }
    },
    release: ticket => {
      sendToRegistry(makeRequest(ticket, true)).catch(error =>
        logger.debug('key_release_failed', {
          ticket: formatTicketId(ticket),
          detail: (error as Error).message,
        }),
      );
    },
    handleClaim: request => handleLocally(request),
  };
}
