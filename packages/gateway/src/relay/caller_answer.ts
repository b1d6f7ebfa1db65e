/** Writes the answer to one caller: a server's, or a refusal of the gateway. */
import type {ServerResponse} from 'node:http';
import {errorTable} from '@buckthornbeam/shared';
import type {RouterError} from '@buckthornbeam/shared';
import type {AnswerHead} from './attempt.js';

/** Options of {@link createCallerAnswer}. */
export interface CallerAnswerOptions {
  response: ServerResponse;
  /** Whether the connection is to end with this answer. */
  isLast: () => boolean;
}

/** The answer to one caller. */
export interface CallerAnswer {
  readonly hasBegun: boolean;
  /** Status that was sent; 0 before the answer has begun. */
  readonly status: number;
  /** Sends a server's answer that is whole. */
  sendWhole(head: AnswerHead, body: Buffer): void;
  /** Begins a server's stream. */
  beginStream(head: AnswerHead): void;
  /** Sends a part of a stream; false asks for a pause until `onDrain`. */
  sendPart(bytes: Buffer): boolean;
  endStream(): void;
  /** Sends an error of the gateway; a stream that has begun is cut instead. */
  sendError(error: RouterError): void;
  onDrain(resume: () => void): void;
}

/** Headers that concern one connection only. */
const CONNECTION_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Statuses whose answers have no body. */
const BODYLESS = new Set([204, 304]);

/** Selects the headers that are passed on; names and values alternate. */
export function selectEndToEnd(
  headers: readonly string[],
  dropped: ReadonlySet<string> = new Set(),
): string[] {
  const named = new Set<string>();
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === 'connection') {
      for (const name of headers[index + 1]!.split(',')) {
        named.add(name.trim().toLowerCase());
      }
    }
  }
  const selected: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    const isDropped =
      CONNECTION_HEADERS.has(name) || named.has(name) || dropped.has(name);
    if (!isDropped) {
      selected.push(headers[index]!, headers[index + 1]!);
    }
  }
  return selected;
}

const LENGTH_HEADER = new Set(['content-length']);

function encodeError(error: RouterError): string {
  const {title} = errorTable[error.code];
  return JSON.stringify({
    error: {
      code: error.code,
      title,
      detail: error.message,
      outcome: error.outcome,
    },
  });
}

/** Creates the answer to a request. */
export function createCallerAnswer(options: CallerAnswerOptions): CallerAnswer {
  const {response, isLast} = options;
  let status = 0;

  function writeHead(nextStatus: number, headers: string[]): void {
    status = nextStatus;
    response.sendDate = false;
    if (isLast()) {
      response.shouldKeepAlive = false;
    }
    response.writeHead(nextStatus, headers);
  }

  return {
    get hasBegun() {
      return status !== 0;
    },
    get status() {
      return status;
    },
    sendWhole: (head, body) => {
      const headers = selectEndToEnd(head.headers, LENGTH_HEADER);
      if (!BODYLESS.has(head.status)) {
        headers.push('Content-Length', String(body.length));
      }
      writeHead(head.status, headers);
      response.end(body);
    },
    beginStream: head => {
      writeHead(head.status, selectEndToEnd(head.headers));
    },
    sendPart: bytes => response.write(bytes),
    endStream: () => {
      response.end();
    },
    sendError: error => {
      if (status !== 0) {
        response.destroy();
        return;
      }
      const body = encodeError(error);
      const headers = [
        'Content-Type',
        'application/json',
        'Content-Length',
        String(Buffer.byteLength(body)),
      ];
      if (error.retryAfterMs !== undefined) {
        headers.push('Retry-After', (error.retryAfterMs / 1000).toFixed(2));
      }
      writeHead(errorTable[error.code].status, headers);
      response.end(body);
    },
    onDrain: resume => {
      response.on('drain', resume);
    },
  };
}
