/** Problem documents for failures that node:http finds before any handler. */
import type {IncomingMessage, Server} from 'node:http';
import {STATUS_CODES} from 'node:http';
import type {Duplex} from 'node:stream';
import {RouterError} from '@buckthornbeam/shared';
import type {ErrorCode} from '@buckthornbeam/shared';
import {buildProblem} from './problem.js';

/** Codes of node:http and its parser; others mean a malformed request. */
const codesByNodeCode: Record<string, ErrorCode> = {
  HPE_HEADER_OVERFLOW: 'headers_too_large',
  ERR_HTTP_REQUEST_TIMEOUT: 'request_timeout',
};

/** Errors after which the caller can no longer be reached. */
const GONE_CODES = new Set(['ECONNRESET', 'EPIPE', 'ETIMEDOUT']);

/** Node keeps the response under way on a socket in this field. */
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
  const isAnswered =
    (socket as ServerSocket)._httpMessage?.headersSent === true;
  if (!socket.writable || isAnswered) {
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
  if (GONE_CODES.has(nodeCode)) {
    socket.destroy();
    return;
  }
  const code = codesByNodeCode[nodeCode] ?? 'malformed_http';
  answerOnSocket(socket, new RouterError(code, error.message));
}

/** Makes a server answer every failure of its own with a problem document. */
export function useProblemsForClientErrors(server: Server): void {
  server.on('clientError', handleClientError);
  server.on('connect', (request: IncomingMessage, socket: Duplex) =>
    answerOnSocket(
      socket,
      new RouterError('unknown_route', `CONNECT ${request.url ?? ''}`),
    ),
  );
}
