/**
 * One attempt of a request at one backend server: its result says what may be
 * done next.
 */
import type {Agent, IncomingMessage} from 'node:http';
import type {AnswerFacts, ServerDialect} from '../ports.js';
import {createEventSplitter} from './event_splitter.js';
import type {StreamEvent} from './event_splitter.js';
import {startExchange} from './exchange.js';
import type {Exchange} from './exchange.js';

/** How an attempt ended. */
export const AttemptEnd = {
  /** The whole answer is here, or was passed on. */
  COMPLETE: 'complete',
  /** The server proved that it did not run the request, or nothing was sent. */
  NOT_RUN: 'not_run',
  /** The request may have run; no usable answer came. */
  BROKEN: 'broken',
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

/** Status and end-to-end headers of an answer. */
export interface AnswerHead {
  status: number;
  /** Names and values alternate. */
  headers: readonly string[];
  facts: AnswerFacts;
}

/** Result of an attempt. */
export interface AttemptResult {
  end: AttemptEnd;
  /** Short machine-readable reason, for logs. */
  reason: string;
  /** The server could not be reached at all. */
  isUnreachable: boolean;
  /** Present where an answer with a valid head came. */
  head?: AnswerHead;
  /** Body of an answer that was not passed on as a stream. */
  body?: Buffer;
}

/** Takes a stream as it arrives. */
export interface StreamSink {
  /** Takes the head, before the first event. */
  acceptHead(head: AnswerHead): void;
  /** Takes a whole event; false asks for a pause until {@link Attempt.resume}. */
  acceptEvent(event: StreamEvent): boolean;
}

/** Options of {@link startAttempt}. */
export interface AttemptOptions {
  agent: Agent;
  address: string;
  method: string;
  url: string;
  headers: readonly string[];
  body: Buffer;
  requestId: string;
  dialect: ServerDialect;
  /** Largest answer that is kept until it is whole, in bytes. */
  maximumBodyBytes: number;
  /** Present for routes whose answers are event streams. */
  sink?: StreamSink;
  /** Called with each sign of life of the server. */
  onActivity?: () => void;
}

/** A running attempt. */
export interface Attempt {
  readonly result: Promise<AttemptResult>;
  /** Ends it with a result that says `broken` and the reason. */
  abort(reason: string): void;
  resume(): void;
}

const SUCCESS = 200;
const FIRST_FAILURE = 300;

/** Whether a status means success. */
export function isSuccess(status: number): boolean {
  return status >= SUCCESS && status < FIRST_FAILURE;
}

/** Whether the answer states that the request did not run. */
function isRefusal({facts}: AnswerHead): boolean {
  return facts.isNotRun || facts.isOtherServer;
}

/** Explains why an answer's head cannot be used; undefined if it can. */
function explainInvalidHead(
  head: AnswerHead,
  requestId: string,
): string | undefined {
  const {facts, status} = head;
  // Servers echo the id; only refusals may come without one.
  const isUnnamedRefusal = facts.requestId === undefined && isRefusal(head);
  if (facts.requestId !== requestId && !isUnnamedRefusal) {
    return 'foreign_answer';
  }
  if (facts.isTransformed) {
    return 'transformed_body';
  }
  if (isSuccess(status) && !facts.isSealed) {
    return 'unsigned_answer';
  }
  return undefined;
}

/** Starts an attempt. */
export function startAttempt(options: AttemptOptions): Attempt {
  const {dialect, requestId, sink, onActivity = () => undefined} = options;
  const splitter = createEventSplitter();
  const chunks: Buffer[] = [];
  let size = 0;
  let head: AnswerHead | undefined;
  let hasSentHead = false;
  let isStream = false;
  let settle: (result: AttemptResult) => void = () => undefined;
  const result = new Promise<AttemptResult>(resolve => {
    settle = resolve;
  });

  function endAttempt(
    end: AttemptEnd,
    reason: string,
    isUnreachable = false,
  ): void {
    settle({
      end,
      reason,
      isUnreachable,
      ...(head ? {head} : {}),
      ...(isStream ? {} : {body: Buffer.concat(chunks)}),
    });
  }

  function abort(reason: string): void {
    exchange.abort();
    endAttempt(AttemptEnd.BROKEN, reason);
  }

  function readHead(incoming: IncomingMessage): void {
    onActivity();
    const status = incoming.statusCode ?? 0;
    const received: AnswerHead = {
      status,
      headers: incoming.rawHeaders,
      facts: dialect.readAnswer(status, incoming.headers),
    };
    const problem = explainInvalidHead(received, requestId);
    if (problem === undefined && isRefusal(received)) {
      head = received;
      return;
    }
    if (problem !== undefined) {
      abort(problem);
      return;
    }
    head = received;
    isStream = sink !== undefined && isSuccess(status);
  }

  function relayEvents(bytes: Buffer): void {
    for (const event of splitter.push(bytes)) {
      if (!hasSentHead) {
        hasSentHead = true;
        sink!.acceptHead(head!);
      }
      if (!sink!.acceptEvent(event)) {
        exchange.pause();
      }
    }
  }

  function readData(bytes: Buffer): void {
    onActivity();
    if (isStream) {
      relayEvents(bytes);
      return;
    }
    size += bytes.length;
    if (size > options.maximumBodyBytes) {
      abort('answer_too_large');
      return;
    }
    chunks.push(bytes);
  }

  function readEnd(): void {
    if (head && isRefusal(head)) {
      endAttempt(
        AttemptEnd.NOT_RUN,
        head.facts.isOtherServer ? 'other_server' : 'refused_by_server',
      );
      return;
    }
    if (isStream && splitter.hasRest()) {
      endAttempt(AttemptEnd.BROKEN, 'partial_event');
      return;
    }
    if (isStream && !hasSentHead) {
      endAttempt(AttemptEnd.BROKEN, 'empty_stream');
      return;
    }
    endAttempt(AttemptEnd.COMPLETE, 'complete');
  }

  function readFailure(error: Error, isSent: boolean): void {
    // The statement of a refusal is in its head; its body does not matter.
    if (head && isRefusal(head)) {
      readEnd();
      return;
    }
    const code = (error as NodeJS.ErrnoException).code ?? error.name;
    const end = isSent ? AttemptEnd.BROKEN : AttemptEnd.NOT_RUN;
    endAttempt(end, code.toLowerCase(), !isSent);
  }

  const exchange: Exchange = startExchange(options, {
    onAnswer: readHead,
    onData: readData,
    onEnd: readEnd,
    onFailure: readFailure,
  });

  return {result, abort, resume: () => exchange.resume()};
}
