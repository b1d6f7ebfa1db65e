/** Tickets: authenticated names of non-idempotent calls. */
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

/** Contents of a ticket. */
export interface Ticket extends TicketCall {
  /** Instance that issued the ticket. */
  issuerId: string;
  /** Incarnation that alone may execute it. */
  issuerIncarnation: string;
  /** Position among the tickets of its issuer's incarnation, from 1. */
  sequence: number;
  /** End of the ticket by its issuer's monotonic clock, in milliseconds. */
  expiresAt: number;
  /** Key that the caller chose for the call. */
  idempotencyKey: string;
}

/** Longest text that is taken for a ticket, in characters. */
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

function makeInvalid(detail: string): RouterError {
  return new RouterError('ticket_invalid', detail);
}

function computeMac(payload: string, key: string): string {
  return createHmac('sha256', key).update(payload).digest('base64url');
}

/** Computes the digest that binds a ticket to a body. */
export function computeBodyDigest(body: Uint8Array): string {
  return createHash('sha256').update(body).digest('base64url');
}

/** Returns the identifier of a ticket, unique over all incarnations. */
export function formatTicketId(
  ticket: Pick<Ticket, 'issuerIncarnation' | 'sequence'>,
): string {
  return `${ticket.issuerIncarnation}/${ticket.sequence}`;
}

/** Encodes a ticket as an opaque, authenticated text. */
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
    throw makeInvalid('the ticket is malformed');
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

/** Decodes a ticket; throws `ticket_invalid` unless authentic and whole. */
export function decodeTicket(text: string, key: string): Ticket {
  const [payload, mac, ...rest] = text.split('.');
  const isShaped =
    text.length <= MAXIMUM_TICKET_LENGTH &&
    payload !== undefined &&
    mac !== undefined &&
    rest.length === 0;
  if (!isShaped || !isAuthentic(payload, mac, key)) {
    throw makeInvalid('the ticket is not authentic');
  }
  const value = parsePayload(payload);
  if (!isTicket(value)) {
    throw makeInvalid('the ticket lacks a field');
  }
  return value;
}

/** Throws `ticket_invalid` unless the ticket was issued for exactly this call. */
export function validateTicketCall(ticket: Ticket, call: TicketCall): void {
  const fields = [
    'customerId',
    'serviceName',
    'method',
    'path',
    'bodyDigest',
  ] as const;
  const different = fields.filter(name => ticket[name] !== call[name]);
  if (different.length > 0) {
    throw makeInvalid(`the ticket has another ${different.join(', ')}`);
  }
}
