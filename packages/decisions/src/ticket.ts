/**
 * Tickets: authenticated tokens that each allow one execution of a
 * non-idempotent call.
 */
import {createHash, createHmac, timingSafeEqual} from 'node:crypto';
import {RouterError} from '@buckthornbeam/shared';

/** The call that a ticket allows. */
export interface TicketCall {
  customerId: string;
  serviceName: string;
  method: string;
  path: string;
  /** Digest of the body; see {@link computeBodyDigest}. */
  bodyDigest: string;
}

export interface Ticket extends TicketCall {
  /** Instance that issued the ticket. */
  issuerId: string;
  /** The only incarnation that may execute the ticket. */
  issuerIncarnation: string;
  /** Sequence number within the issuer's incarnation, from 1. */
  sequence: number;
  /** Expiry by the issuer's monotonic clock, in milliseconds. */
  expiresAt: number;
  /** Idempotency key from the caller. */
  idempotencyKey: string;
}

/** Maximum length of an encoded ticket, in characters. */
const MAXIMUM_TICKET_LENGTH = 4096;

const textFields = [
  'customerId',
  'serviceName',
  'method',
  'path',
  'bodyDigest',
  'issuerId',
  'issuerIncarnation',
  'idempotencyKey',
] as const;

function makeInvalidError(detail: string): RouterError {
  return new RouterError('ticket_invalid', detail);
}

function computeMac(payload: string, key: string): string {
  return createHmac('sha256', key).update(payload).digest('base64url');
}

/**
 * Computes the SHA-256 digest that binds a ticket to a request body, in
 * base64url.
 */
export function computeBodyDigest(body: Uint8Array): string {
  return createHash('sha256').update(body).digest('base64url');
}

/** Returns the id of a ticket, unique across all incarnations. */
export function formatTicketId(
  ticket: Pick<Ticket, 'issuerIncarnation' | 'sequence'>,
): string {
  return `${ticket.issuerIncarnation}/${ticket.sequence}`;
}

/** Encodes a ticket as base64url JSON with an HMAC, separated by a dot. */
export function encodeTicket(ticket: Ticket, key: string): string {
  const payload = Buffer.from(JSON.stringify(ticket)).toString('base64url');
  return `${payload}.${computeMac(payload, key)}`;
}

function isAuthentic(payload: string, mac: string, key: string): boolean {
  const expected = Buffer.from(computeMac(payload, key));
  const actual = Buffer.from(mac);
  return expected.length === actual.length && timingSafeEqual(expected, actual);
}

function parsePayload(payload: string): unknown {
  try {
    return JSON.parse(Buffer.from(payload, 'base64url').toString('utf8'));
  } catch {
    throw makeInvalidError('the payload of the ticket is not JSON');
  }
}

function isTicket(value: unknown): value is Ticket {
  if (value === null || typeof value !== 'object') {
    return false;
  }
  const fields = value as Record<string, unknown>;
  return (
    textFields.every(name => typeof fields[name] === 'string') &&
    Number.isSafeInteger(fields['sequence']) &&
    Number.isFinite(fields['expiresAt'])
  );
}

/**
 * Decodes a ticket; throws `ticket_invalid` unless it is authentic and
 * complete.
 */
export function decodeTicket(text: string, key: string): Ticket {
  const [payload, mac, ...extraParts] = text.split('.');
  const isWellFormed =
    text.length <= MAXIMUM_TICKET_LENGTH &&
    payload !== undefined &&
    mac !== undefined &&
    extraParts.length === 0;
  if (!isWellFormed || !isAuthentic(payload, mac, key)) {
    throw makeInvalidError('the ticket is malformed or its signature is wrong');
  }
  const value = parsePayload(payload);
  if (!isTicket(value)) {
    throw makeInvalidError(
      'a field of the ticket is missing or has the wrong type',
    );
  }
  return value;
}

/** Throws `ticket_invalid` if the ticket was issued for a different call. */
export function validateTicketCall(ticket: Ticket, call: TicketCall): void {
  const fields = [
    'customerId',
    'serviceName',
    'method',
    'path',
    'bodyDigest',
  ] as const;
  const mismatches = fields.filter(name => ticket[name] !== call[name]);
  if (mismatches.length > 0) {
    throw makeInvalidError(
      `the ticket was issued for a different ${mismatches.join(', ')}`,
    );
  }
}
