/** /v1/services/NAME/PATH: calls to plain services. */
import {randomUUID} from 'node:crypto';
import {RouterError, isErrorCode} from '@buckthornbeam/shared';
import type {TicketResult} from '@buckthornbeam/decisions';
import type {Entry} from '../tasks/entry.js';
import {createProblemResponse} from './problem.js';

const TICKET_HEADER = 'idempotency-ticket';
const KEY_HEADER = 'idempotency-key';

/** Splits `/v1/services/NAME/PATH`; the path defaults to `/`. */
export function parseServicePath(pathname: string): {
  serviceName: string;
  path: string;
} {
  const [, serviceName = '', path = ''] =
    /^\/v1\/services\/([^/]+)(\/.*)?$/.exec(pathname) ?? [];
  return {serviceName, path: path || '/'};
}

function createResultResponse(
  result: TicketResult & {replayed?: boolean},
): Response {
  if (result.code !== '') {
    const code = isErrorCode(result.code) ? result.code : 'internal';
    return createProblemResponse(
      new RouterError(code, result.detail, {outcome: result.outcome}),
    );
  }
  return new Response(Buffer.from(result.body), {
    status: result.status,
    headers: {
      'content-type': result.contentType,
      'x-outcome': result.outcome,
      'x-replayed': String(result.replayed ?? false),
    },
  });
}

/**
 * Answers a call to a plain service. A route that is not idempotent needs a
 * ticket; a call without one is answered with a new ticket and is not executed.
 */
export async function answerServiceCall(
  entry: Entry,
  customerId: string,
  request: Request,
  body: Uint8Array,
): Promise<Response> {
  const {serviceName, path} = parseServicePath(new URL(request.url).pathname);
  const route = entry.getServiceRoute(serviceName, request.method, path);
  const call = {
    serviceName,
    method: request.method,
    path,
    contentType: request.headers.get('content-type') ?? 'application/json',
    body,
  };
  if (route.idempotent) {
    return createResultResponse(await entry.callService(call));
  }
  const ticket = request.headers.get(TICKET_HEADER);
  if (ticket === null) {
    const key = request.headers.get(KEY_HEADER) ?? randomUUID();
    const issued = entry.issueTicket(customerId, call, key);
    return createProblemResponse(
      new RouterError('ticket_required', 'the call was not executed'),
      {[TICKET_HEADER]: issued},
    );
  }
  return createResultResponse(
    await entry.executeTicket(customerId, ticket, call),
  );
}
