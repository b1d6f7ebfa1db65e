/** Tickets: authenticated names of non-idempotent calls. */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {RouterError} from '@buckthornbeam/shared';

/** Contents of a ticket. */
export interface Ticket {
  id: string;
  /** Instance that issued the ticket and alone may execute it. */
  issuerId: string;
  issuerIncarnation: string;
  customerId: string;
  serviceName: string;
  /** Key that the caller chose for the call. */
  idempotencyKey: string;
}

function computeMac(payload: string, key: string): string {
  return createHmac('sha256', key).update(payload).digest('base64url');
}

/** Encodes a ticket as an opaque, authenticated text. */
export function encodeTicket(ticket: Ticket, key: string): string {
  const payload = Buffer.from(JSON.stringify(ticket)).toString('base64url');
  return `${payload}.${computeMac(payload, key)}`;
}

/** Decodes a ticket; throws `ticket_invalid` if it is not authentic. */
export function decodeTicket(text: string, key: string): Ticket {
  const [payload = '', mac = ''] = text.split('.');
  const expected = Buffer.from(computeMac(payload, key));
  const actual = Buffer.from(mac);
  if (expected.length !== actual.length || !timingSafeEqual(expected, actual)) {
    throw new RouterError('ticket_invalid', 'the ticket is not authentic');
  }
  return JSON.parse(Buffer.from(payload, 'base64url').toString('utf8'));
}
