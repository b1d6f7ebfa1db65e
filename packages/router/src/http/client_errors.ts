/** Problem documents for errors that node:http detects before any handler. */
import type {IncomingMessage, Server} from 'node:http';
import {STATUS_CODES} from 'node:http';
import type {Duplex} from 'node:stream';
import {RouterError} from '@buckthornbeam/shared';
import type {ErrorCode} from '@buckthornbeam/shared';
import {buildProblem} from './problem.js';

/** By error code of node:http; any other means a malformed request. */
const errorCodesByNodeCode: Record<string, ErrorCode> = {
  HPE_HEADER_OVERFLOW: 'headers_too_large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request_timeout',
};

/** Errors that mean that the caller has disconnected. */
const DISCONNECT_CODES = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT']);

/** Node stores a socket's current response in this internal field. */
type ServerSocket = Duplex & {_httpMessage?: {headersSent: boolean} | null};

function encodeRawResponse(error: RouterError): string {
  const problem = buildProblem(error);
  const body = JSON.stringify(problem);
  return [
    `HTTP/1.1 ${problem.status} ${STATUS_CODES[problem.status] ?? ''}`,
    'content-type: application/problem+json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
    '',
    body,
  ].join('\r\n');
}

function answerOnSocket(socket: Duplex, error: RouterError): void {
  const hasSentHeaders =
    (socket as ServerSocket)._httpMessage?.headersSent === true;
  if (!socket.writable || hasSentHeaders) {
    socket.destroy();
    return;
  }
  socket.end(encodeRawResponse(error), () => socket.destroy());
}

function handleClientError(
  error: Error & {code?: string},
  socket: Duplex,
): void {
  const nodeCode = error.code ?? '';
  if (DISCONNECT_CODES.has(nodeCode)) {
    socket.destroy();
    return;
  }
  const code = errorCodesByNodeCode[nodeCode] ?? 'malformed_http';
  answerOnSocket(socket, new RouterError(code, error.message));
}

/** Answers malformed requests and CONNECT requests with problem documents. */
export function answerClientErrors(server: Server): void {
  server.on('clientError', handleClientError);
  server.on('connect', (request: IncomingMessage, socket: Duplex) =>
    answerOnSocket(
      socket,
      new RouterError('unknown_route', `CONNECT ${request.url ?? ''}`),
    ),
  );
}
