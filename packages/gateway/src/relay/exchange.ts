/** Sends one request to one backend server and reports how far it got. */
import {request as startRequest} from 'node:http';
import type {Agent, ClientRequest, IncomingMessage} from 'node:http';
import {createReadPacer, splitAddress} from '@buckthornbeam/shared';
import type {ReadPacer} from '@buckthornbeam/shared';
import {getHistory} from './connection_history.js';
import type {ConnectionHistory} from './connection_history.js';
import {buildFramedHeaders} from './request_framing.js';
import {isCloseDelimited, isReset} from './server_connections.js';
import type {ServerRequestOptions} from './server_connections.js';

/** Options of {@link startExchange}. */
export interface ExchangeOptions {
  agent: Agent;
  /** `host:port` */
  address: string;
  method: string;
  url: string;
  /** Names and values alternate. */
  headers: readonly string[];
  body: Buffer;
  requestId: string;
}

/** Handlers of an exchange; none is called after `onEnd` or `onFailure`. */
export interface ExchangeHandlers {
  /** `isReused` tells whether the connection had another answer before. */
  onAnswer(answer: IncomingMessage, isReused: boolean): void;
  /** Returns the number of pieces that the bytes were split into. */
  onData(bytes: Buffer): number;
  /** The body is complete according to its framing. */
  onEnd(): void;
  /** `isSent` is false only if no byte of the request can have been sent. */
  onFailure(error: Error, isSent: boolean): void;
}

export interface Exchange {
  /** Closes the connection; no handler is called afterwards. */
  abort(): void;
  /** Closes the connection after the answer, so that it is not used again. */
  closeAfterAnswer(): void;
  /** States that the request succeeded, so that it is not sent again. */
  recordSuccess(): void;
  /** Names the connection and the request on it; undefined before it has one. */
  describeConnection(): string | undefined;
  pause(): void;
  resume(): void;
}

/** The connection ended before the answer was complete. */
export class TruncatedBody extends Error {
  readonly code = 'TRUNCATED';
}

/** The server sent interim heads and no answer. */
export class EndlessInterimHeads extends Error {
  readonly code = 'ENDLESS_INTERIM_HEADS';
}

/**
 * Interim heads (1xx) before an answer. Servers send one or two; a faulty one may go on
 * until the deadline.
 */
const MAXIMUM_INTERIM_HEADS = 10;

/** Whether the connection could not be established. */
function isConnectError(error: Error): boolean {
  return (error as NodeJS.ErrnoException).syscall === 'connect';
}

/** Reports a request that cannot be sent, after the caller has its exchange. */
function reportUnsendable(error: Error, handlers: ExchangeHandlers): Exchange {
  let isAborted = false;
  process.nextTick(() => {
    if (!isAborted) {
      handlers.onFailure(error, false);
    }
  });
  return {
    abort: () => {
      isAborted = true;
    },
    closeAfterAnswer: () => undefined,
    recordSuccess: () => undefined,
    describeConnection: () => undefined,
    pause: () => undefined,
    resume: () => undefined,
  };
}

export function startExchange(
  options: ExchangeOptions,
  handlers: ExchangeHandlers,
): Exchange {
  const {agent, address, method, url, body, requestId} = options;
  let isFinished = false;
  let answer: IncomingMessage | undefined;
  let interimHeads = 0;
  let pacer: ReadPacer | undefined;
  let history: ConnectionHistory | undefined;

  function finish(notify: () => void): void {
    if (!isFinished) {
      isFinished = true;
      notify();
    }
  }

  function fail(error: Error): void {
    const isSent = !isConnectError(error);
    finish(() => handlers.onFailure(error, isSent));
    outgoing.destroy();
  }

  function endDelimitedBody({socket}: IncomingMessage): void {
    if (isReset(socket)) {
      fail(new TruncatedBody('connection reset before the end of the body'));
    } else {
      finish(() => handlers.onEnd());
    }
  }

  function readAnswer(incoming: IncomingMessage): void {
    answer = incoming;
    const answerPacer = createReadPacer(incoming);
    pacer = answerPacer;
    incoming.on('data', (bytes: Buffer) => {
      if (!isFinished) {
        answerPacer.countPieces(handlers.onData(bytes));
      }
    });
    incoming.on('end', () => {
      if (!incoming.complete) {
        fail(new TruncatedBody('body ended before its framing was complete'));
      } else if (isCloseDelimited(incoming)) {
        // Whether the connection was reset is only certain once it is closed.
        outgoing.on('close', () => endDelimitedBody(incoming));
      } else {
        finish(() => handlers.onEnd());
      }
    });
    incoming.on('error', fail);
    incoming.on('aborted', () => {
      fail(new TruncatedBody('connection closed before the end of the body'));
    });
    if (!isFinished) {
      handlers.onAnswer(incoming, outgoing.reusedSocket);
    }
  }

  function countInterimHead(): void {
    interimHeads += 1;
    if (interimHeads > MAXIMUM_INTERIM_HEADS) {
      fail(new EndlessInterimHeads(`${interimHeads} heads before an answer`));
    }
  }

  let outgoing: ClientRequest;
  try {
    const requestOptions: ServerRequestOptions = {
      ...splitAddress(address),
      agent,
      method,
      path: url,
      headers: buildFramedHeaders(method, options.headers, body.length),
      setHost: false,
      requestId,
    };
    outgoing = startRequest(requestOptions);
  } catch (error) {
    // node:http throws for a port, a path or a header that it can't send.
    return reportUnsendable(error as Error, handlers);
  }
  outgoing.on('socket', socket => {
    history = getHistory(socket);
    history.recordRequest(requestId);
  });
  outgoing.on('information', countInterimHead);
  outgoing.on('response', readAnswer);
  outgoing.on('error', fail);
  outgoing.on('close', () => {
    if (!answer) {
      fail(new TruncatedBody('connection closed without an answer'));
    }
  });
  outgoing.end(body.length > 0 ? body : undefined);

  return {
    abort: () => {
      isFinished = true;
      outgoing.destroy();
    },
    closeAfterAnswer: () => {
      outgoing.shouldKeepAlive = false;
    },
    recordSuccess: () => history?.recordSuccess(),
    describeConnection: () => history?.describe(),
    pause: () => pacer?.pause(),
    resume: () => pacer?.resume(),
  };
}
