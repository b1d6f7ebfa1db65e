/** The issuer task: sole executor of the tickets that carry its incarnation. */
import {randomUUID} from 'node:crypto';
import type {FileSet, Settings} from '@buckthornbeam/config';
import {
  createAttemptProgress,
  createTicketTable,
  encodeTicket,
  resolveOutcome,
} from '@buckthornbeam/decisions';
import type {Ticket, TicketResult} from '@buckthornbeam/decisions';
import {Outcome, RouterError} from '@buckthornbeam/shared';
import type {Logger} from '@buckthornbeam/shared';
import {Agent, request} from 'undici';
import type {Identity} from '../identity.js';

/** A call of a plain service. */
export interface ServiceCall {
  serviceName: string;
  method: string;
  path: string;
  contentType: string;
  body: Uint8Array;
}

/** Options of {@link createIssuer}. */
export interface IssuerOptions {
  identity: Identity;
  settings: Settings;
  logger: Logger;
  getFileSet: () => FileSet;
}

/** The issuer task. */
export interface Issuer {
  /** Issues a ticket for a call; nothing runs. */
  issue(customerId: string, serviceName: string, key: string): string;
  /** Executes the call of a ticket, or returns its stored result. */
  execute(
    ticket: Ticket,
    call: ServiceCall,
  ): Promise<TicketResult & {replayed: boolean}>;
  /** Calls a plain service without a ticket. */
  callService(call: ServiceCall): Promise<TicketResult>;
  stop(): Promise<void>;
}

const CONNECT_TIMEOUT_MS = 1000;

const CONNECT_ERRORS = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

function makeFailedResult(error: RouterError): TicketResult {
  return {
    outcome: error.outcome,
    code: error.code,
    detail: error.message,
    status: 0,
    contentType: '',
    body: new Uint8Array(),
  };
}

/** Creates the issuer task. */
export function createIssuer(options: IssuerOptions): Issuer {
  const {identity, settings, logger, getFileSet} = options;
  const table = createTicketTable();
  const running = new Map<string, Promise<TicketResult>>();
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    pipelining: 1,
  });

  async function callService(call: ServiceCall): Promise<TicketResult> {
    const service = getFileSet().services.get(call.serviceName);
    const address = service?.addresses[0];
    if (!address) {
      return makeFailedResult(
        new RouterError('unknown_service', `no service ${call.serviceName}`),
      );
    }
    const progress = createAttemptProgress();
    try {
      const response = await request(`http://${address}${call.path}`, {
        method: call.method as 'POST',
        dispatcher: agent,
        headers: {'content-type': call.contentType},
        ...(call.body.length > 0 ? {body: call.body} : {}),
      });
      const body = new Uint8Array(await response.body.arrayBuffer());
      progress.terminated = true;
      return {
        outcome: resolveOutcome(progress),
        code: '',
        detail: '',
        status: response.statusCode,
        contentType: String(response.headers['content-type'] ?? ''),
        body,
      };
    } catch (error) {
      const {code = '', message} = error as {code?: string; message: string};
      progress.bytesWritten = !CONNECT_ERRORS.has(code);
      return makeFailedResult(
        new RouterError('server_unreachable', message, {
          outcome: resolveOutcome(progress),
        }),
      );
    }
  }

  async function executeOnce(
    ticketId: string,
    call: ServiceCall,
  ): Promise<TicketResult> {
    const pending = callService(call);
    running.set(ticketId, pending);
    const result = await pending;
    running.delete(ticketId);
    table.store(ticketId, result);
    logger.info('ticket_executed', {
      ticket: ticketId,
      outcome: result.outcome,
      status: result.status,
    });
    return result;
  }

  return {
    issue: (customerId, serviceName, key) => {
      const id = randomUUID();
      table.add(id);
      return encodeTicket(
        {
          id,
          issuerId: identity.instanceId,
          issuerIncarnation: identity.incarnation,
          customerId,
          serviceName,
          idempotencyKey: key,
        },
        settings.ticketKey,
      );
    },
    execute: async (ticket, call) => {
      if (ticket.issuerIncarnation !== identity.incarnation) {
        throw new RouterError(
          'ticket_issuer_gone',
          `${ticket.issuerId} was replaced since it issued the ticket`,
          {outcome: Outcome.UNKNOWN},
        );
      }
      const decision = table.claim(ticket.id);
      if (decision.type === 'execute') {
        const result = await executeOnce(ticket.id, call);
        return {...result, replayed: false};
      }
      if (decision.type === 'replay') {
        return {...decision.result, replayed: true};
      }
      const pending = running.get(ticket.id);
      if (pending) {
        return {...(await pending), replayed: true};
      }
      throw new RouterError('ticket_expired', 'the table has no such ticket', {
        outcome: Outcome.UNKNOWN,
      });
    },
    callService,
    stop: () => agent.destroy(),
  };
}
