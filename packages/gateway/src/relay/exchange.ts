/** One request to one backend server, and what is known of how far it got. */
import {request as startRequest} from 'node:http';
import type {Agent, ClientRequest, IncomingMessage} from 'node:http';
import {splitAddress} from '@buckthornbeam/shared';
import {isCloseDelimited, isReset} from './server_connections.js';

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
}

/** Called as the exchange goes on; after `onEnd` or `onFailure` nothing follows. */
export interface ExchangeHandlers {
  onAnswer(answer: IncomingMessage): void;
  onData(bytes: Buffer): void;
  /** The body is whole by its framing. */
  onEnd(): void;
  /** `isSent` is false only if no byte of the request can have left. */
  onFailure(error: Error, isSent: boolean): void;
}

/** A running exchange. */
export interface Exchange {
  /** Ends it and closes the connection; no handler is called any more. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** The body ended before its framing said so. */
export class TruncatedBody extends Error {
  readonly code = 'TRUNCATED';
}

/** Whether the error came before the connection stood. */
function isConnectError(error: Error): boolean {
  return (error as NodeJS.ErrnoException).syscall === 'connect';
}

/** Starts an exchange. */
export function startExchange(
  options: ExchangeOptions,
  handlers: ExchangeHandlers,
): Exchange {
  const {agent, address, method, url, body} = options;
  let isOver = false;
  let answer: IncomingMessage | undefined;

  function finish(report: () => void): void {
    if (!isOver) {
      isOver = true;
      report();
    }
  }

  function fail(error: Error): void {
    const isSent = !isConnectError(error);
    finish(() => handlers.onFailure(error, isSent));
    outgoing.destroy();
  }

  function endDelimitedBody({socket}: IncomingMessage): void {
    if (isReset(socket)) {
      fail(new TruncatedBody('the connection was reset within the body'));
    } else {
      finish(() => handlers.onEnd());
    }
  }

  function readAnswer(incoming: IncomingMessage): void {
    answer = incoming;
    incoming.on('data', (bytes: Buffer) => {
      if (!isOver) {
        handlers.onData(bytes);
      }
    });
    incoming.on('end', () => {
      if (!incoming.complete) {
        fail(new TruncatedBody('the body ended before its framing said so'));
      } else if (isCloseDelimited(incoming)) {
        // Only the end of the connection shows whether it was reset.
        outgoing.on('close', () => endDelimitedBody(incoming));
      } else {
        finish(() => handlers.onEnd());
      }
    });
    incoming.on('error', fail);
    incoming.on('aborted', () => {
      fail(new TruncatedBody('the connection closed within the body'));
    });
    if (!isOver) {
      handlers.onAnswer(incoming);
    }
  }

  const outgoing: ClientRequest = startRequest({
    ...splitAddress(address),
    agent,
    method,
    path: url,
    headers: options.headers as string[],
    setHost: false,
  });
  outgoing.on('response', readAnswer);
  outgoing.on('error', fail);
  outgoing.on('close', () => {
    if (!answer) {
      fail(new TruncatedBody('the connection closed without an answer'));
    }
  });
  outgoing.end(body.length > 0 ? body : undefined);

  return {
    abort: () => {
      isOver = true;
      outgoing.destroy();
    },
    pause: () => answer?.pause(),
    resume: () => answer?.resume(),
  };
}
