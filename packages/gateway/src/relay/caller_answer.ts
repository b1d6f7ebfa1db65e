/** Writes the answer to one caller: from a backend server, or an error of the gateway. */
import type {ServerResponse} from 'node:http';
import {errorTable} from '@buckthornbeam/shared';
import type {RouterError} from '@buckthornbeam/shared';
import type {AnswerHead} from './attempt.js';

/** Options of {@link createCallerAnswer}. */
export interface CallerAnswerOptions {
  response: ServerResponse;
  /** Whether to close the connection after this answer. */
  mustCloseConnection: () => boolean;
  /**
   * Called with the bytes that wait for the caller, whenever they change. `isComplete`
   * tells that they are the rest of a buffered answer.
   */
  onBuffered?: (bytes: number, isComplete: boolean) => void;
}

export interface CallerAnswer {
  readonly hasBegun: boolean;
  /** Status that was sent; 0 before the head is sent. */
  readonly status: number;
  /** Sends a buffered answer of a server. */
  sendComplete(head: AnswerHead, body: Buffer): void;
  /** Sends the head of a server's stream. */
  beginStream(head: AnswerHead): void;
  /** Sends a chunk of a stream; false asks the sender to pause until `onDrain`. */
  sendChunk(bytes: Buffer): boolean;
  endStream(): void;
  /**
   * Sends an error of the gateway. If the head was already sent, it closes the
   * connection instead, so that the caller detects the truncated answer.
   */
  sendError(error: RouterError): void;
  onDrain(resume: () => void): void;
}

/** Hop-by-hop headers, which are not forwarded. */
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

const BODYLESS_STATUSES = new Set([204, 304]);

/**
 * Selects the headers to forward: without hop-by-hop headers, headers that
 * `Connection` lists, and `dropped`.
 * @param headers Names and values alternate.
 * @param dropped Names in lower case.
 */
export function selectEndToEnd(
  headers: readonly string[],
  dropped: ReadonlySet<string> = new Set(),
): string[] {
  const connectionOptions = new Set<string>();
  for (let index = 0; index < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === 'connection') {
      for (const name of headers[index + 1]!.split(',')) {
        connectionOptions.add(name.trim().toLowerCase());
      }
    }
  }
  const selected: string[] = [];
  for (let index = 0; index < headers.length; index += 2) {
    const name = headers[index]!.toLowerCase();
    const isDropped =
      CONNECTION_HEADERS.has(name) ||
      connectionOptions.has(name) ||
      dropped.has(name);
    if (!isDropped) {
      selected.push(headers[index]!, headers[index + 1]!);
    }
  }
  return selected;
}

/** The forwarded length is that of the buffered body. */
const RECOMPUTED_HEADERS = new Set(['content-length']);

/** Larger than most bodies, which are written at once. */
const PIECE_BYTES = 262_144;

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

export function createCallerAnswer(options: CallerAnswerOptions): CallerAnswer {
  const {
    response,
    mustCloseConnection: isLast,
    onBuffered = () => undefined,
  } = options;
  let status = 0;

  function writeHead(nextStatus: number, headers: string[]): void {
    response.sendDate = false;
    if (isLast()) {
      response.shouldKeepAlive = false;
    }
    // Throws for a head that is not valid; the answer has then not begun.
    response.writeHead(nextStatus, headers);
    status = nextStatus;
  }

  /**
   * Closes the connection within an answer. Without chunks, as for a caller of HTTP/1.0,
   * a regular end would make the answer look complete.
   */
  function closeTruncated(): void {
    if (!response.chunkedEncoding) {
      response.socket?.resetAndDestroy();
    }
    response.destroy();
  }

  /** Writes a body piece by piece, so that a caller that reads can be told apart. */
  function writePieces(body: Buffer): void {
    if (body.length <= PIECE_BYTES) {
      response.end(body);
      onBuffered(body.length, true);
      return;
    }
    let written = 0;
    function writeMore(): void {
      let canGoOn = true;
      while (canGoOn && written + PIECE_BYTES < body.length) {
        const piece = body.subarray(written, written + PIECE_BYTES);
        written += piece.length;
        canGoOn = response.write(piece);
      }
      onBuffered(body.length - written + response.writableLength, true);
      if (canGoOn) {
        response.off('drain', writeMore);
        response.end(body.subarray(written));
      }
    }
    response.on('drain', writeMore);
    writeMore();
  }

  return {
    get hasBegun() {
      return status !== 0;
    },
    get status() {
      return status;
    },
    sendComplete: (head, body) => {
      const headers = selectEndToEnd(head.headers, RECOMPUTED_HEADERS);
      if (!BODYLESS_STATUSES.has(head.status)) {
        headers.push('Content-Length', String(body.length));
      }
      writeHead(head.status, headers);
      writePieces(body);
    },
    beginStream: head => {
      writeHead(head.status, selectEndToEnd(head.headers));
    },
    sendChunk: bytes => {
      const canGoOn = response.write(bytes);
      onBuffered(response.writableLength, false);
      return canGoOn;
    },
    endStream: () => {
      response.end();
    },
    sendError: error => {
      if (status !== 0) {
        closeTruncated();
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
      response.on('drain', () => {
        onBuffered(response.writableLength, false);
        resume();
      });
    },
  };
}
