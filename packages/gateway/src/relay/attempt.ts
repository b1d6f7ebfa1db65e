/**
 * Runs one attempt of a request at one backend server. The result shows whether
 * the request may be sent to another server.
 */
import type {Agent, IncomingMessage} from 'node:http';
import type {ServerStatement} from '@buckthornbeam/decisions';
import {createByteBuffer} from '@buckthornbeam/shared';
import type {AnswerMetadata, ServerDialect} from '../ports.js';
import {createEventSplitter} from './event_splitter.js';
import type {StreamEvent} from './event_splitter.js';
import {startExchange} from './exchange.js';
import type {Exchange} from './exchange.js';
import {canWriteHeaders} from './header_check.js';
import {isCloseDelimited} from './server_connections.js';

/** How an attempt ended. */
export const AttemptEnd = {
  /** The complete answer was received, or sent to the sink. */
  COMPLETE: 'complete',
  /** The server stated that it did not run the request, or nothing was sent. */
  NOT_RUN: 'not_run',
  /** The request may have run, but there is no usable answer. */
  BROKEN: 'broken',
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

/** Status and headers of an answer. */
export interface AnswerHead {
  status: number;
  /** Names and values alternate. */
  headers: readonly string[];
  metadata: AnswerMetadata;
}

/** Result of an attempt. */
export interface AttemptResult {
  end: AttemptEnd;
  /** Machine-readable reason for logs and metrics. */
  reason: string;
  /** No connection to the server could be established. */
  isUnreachable: boolean;
  /** The connection to the server was lost before the answer was complete. */
  isCut: boolean;
  /** Complete events of a stream that were received. */
  eventCount: number;
  /** Number of the connection and of the request on it; absent if there was none. */
  connection?: string;
  /** Present if a valid head was received. */
  head?: AnswerHead;
  /** Absent if the body was sent to the sink. */
  body?: Buffer;
}

/** Receives an event stream while it arrives. */
export interface StreamSink {
  /** Called once, before the first event. */
  acceptHead(head: AnswerHead): void;
  /** Called with complete events; false pauses until {@link Attempt.resume}. */
  acceptEvents(events: readonly StreamEvent[]): boolean;
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
  /** Whether the request may run more than once; false by default. */
  isRepeatable?: boolean;
  dialect: ServerDialect;
  /** Largest answer that is buffered, in bytes. */
  maximumBodyBytes: number;
  /** Called with the capacity of the buffer before it grows; false ends the attempt. */
  reserve?: (capacityBytes: number) => boolean;
  /** Called with the bytes that were read from the server. */
  onRead?: (bytes: number) => void;
  /** Present for routes whose answers are event streams. */
  sink?: StreamSink;
  /** The caller has the first part of the stream, so that nothing may be left of it. */
  isResumed?: boolean;
  /** Called when a valid head arrives. */
  onHead?: () => void;
  /** Called with what the server states in the head of its own answer. */
  onStatement?: (statement: ServerStatement) => void;
  /** Called when the server sends headers or data; of a stream, a whole event. */
  onActivity?: () => void;
}

export interface Attempt {
  readonly result: Promise<AttemptResult>;
  /** Closes the connection; the result is `broken` with this reason. */
  abort(reason: string): void;
  resume(): void;
}

/** Largest event of a stream; a server in trouble may send bytes without end. */
const MAXIMUM_EVENT_BYTES = 1_000_000;
/** Statuses that state to callers that the request did not run and will not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
const FIRST_SUCCESS_STATUS = 200;
const FIRST_NON_SUCCESS_STATUS = 300;
const LAST_STATUS = 599;

export function isSuccess(status: number): boolean {
  return status >= FIRST_SUCCESS_STATUS && status < FIRST_NON_SUCCESS_STATUS;
}

/**
 * Whether HTTP has final answers with the status. node:http reads any three digits, and
 * can't write a status below 100.
 */
function isFinalStatus(status: number): boolean {
  return status >= FIRST_SUCCESS_STATUS && status <= LAST_STATUS;
}

/** Whether the server states that it did not run the request. */
function isRefusal({metadata}: AnswerHead): boolean {
  return metadata.isNotRun || metadata.isOtherServer;
}

/** Servers echo the request id; only refusals may lack it. */
function isRefusalWithoutId(head: AnswerHead): boolean {
  return head.metadata.requestId === undefined && isRefusal(head);
}

/** What an answer is compared with. */
interface HeadContext {
  requestId: string;
  isRepeatable?: boolean;
  /** Whether the connection had another answer before. */
  isReused: boolean;
}

/** Whether the answer is that of the server to this request. */
function isOwnAnswer(
  head: AnswerHead,
  {requestId, isReused}: HeadContext,
): boolean {
  // On a connection in use again, a refusal without an id may be an earlier one.
  const isOwnRefusal = isRefusalWithoutId(head) && !isReused;
  return head.metadata.requestId === requestId || isOwnRefusal;
}

/**
 * Selects what the answer states about the server; undefined if it may be another's. A
 * pause is also read from an answer without an id: servers may refuse before they have
 * read the id, and whatever wrote it at this address asks for less load.
 */
function selectStatement(
  head: AnswerHead,
  context: HeadContext,
): ServerStatement | undefined {
  const {isOtherServer, requestId, statement} = head.metadata;
  if (isOtherServer) {
    return undefined;
  }
  if (isOwnAnswer(head, context)) {
    return statement;
  }
  const {pauseMs} = statement;
  return requestId === undefined && pauseMs !== undefined
    ? {isLeaving: false, pauseMs}
    : undefined;
}

/** Returns the reason why an answer cannot be used; undefined if it can. */
function explainInvalidHead(
  head: AnswerHead,
  context: HeadContext,
): string | undefined {
  const {metadata, status} = head;
  if (!isFinalStatus(status)) {
    return 'invalid_status';
  }
  // The head of a refusal is not passed on.
  if (!isRefusal(head) && !canWriteHeaders(head.headers)) {
    return 'invalid_header';
  }
  if (!isOwnAnswer(head, context)) {
    return 'foreign_answer';
  }
  if (metadata.isTransformed) {
    return 'transformed_body';
  }
  if (isSuccess(status) && !metadata.isSealed) {
    return 'unsigned_answer';
  }
  if (
    !context.isRepeatable &&
    NOT_RUN_STATUSES.has(status) &&
    !isRefusal(head)
  ) {
    return 'unconfirmed_refusal';
  }
  return undefined;
}

export function startAttempt(options: AttemptOptions): Attempt {
  const {dialect, sink, onActivity = () => undefined} = options;
  const {reserve = () => true} = options;
  const splitter = createEventSplitter({
    maximumEventBytes: MAXIMUM_EVENT_BYTES,
    reserve,
  });
  let body = createByteBuffer({maximumBytes: 0});
  let head: AnswerHead | undefined;
  let hasSentHead = false;
  let isStream = false;
  /** The head tells where the body ends. */
  let isFramed = false;
  let eventCount = 0;
  let settle: (result: AttemptResult) => void = () => undefined;
  const result = new Promise<AttemptResult>(resolve => {
    settle = resolve;
  });

  function endAttempt(
    end: AttemptEnd,
    reason: string,
    {isUnreachable = false, isCut = false} = {},
  ): void {
    const connection = exchange.describeConnection();
    if (end === AttemptEnd.COMPLETE && isSuccess(head!.status)) {
      exchange.recordSuccess();
    }
    settle({
      end,
      reason,
      isUnreachable,
      isCut,
      eventCount,
      ...(connection ? {connection} : {}),
      ...(head ? {head} : {}),
      ...(isStream ? {} : {body: body.takeAll()}),
    });
  }

  function abort(reason: string): void {
    exchange.abort();
    endAttempt(AttemptEnd.BROKEN, reason);
  }

  function readHead(incoming: IncomingMessage, isReused: boolean): void {
    onActivity();
    body = createByteBuffer({
      maximumBytes: options.maximumBodyBytes,
      expectedBytes: Number(incoming.headers['content-length'] ?? 0),
      reserve,
      hasOwnPages: true,
    });
    const status = incoming.statusCode ?? 0;
    const received: AnswerHead = {
      status,
      headers: incoming.rawHeaders,
      metadata: dialect.readAnswer(status, incoming.headers),
    };
    const context: HeadContext = {...options, isReused};
    const statement = selectStatement(received, context);
    if (statement) {
      options.onStatement?.(statement);
    }
    const problem = explainInvalidHead(received, context);
    if (problem === undefined && isRefusal(received)) {
      head = received;
      if (isRefusalWithoutId(received)) {
        exchange.closeAfterAnswer();
      }
      return;
    }
    if (problem !== undefined) {
      abort(problem);
      return;
    }
    head = received;
    options.onHead?.();
    isStream = sink !== undefined && isSuccess(status);
    isFramed = !isCloseDelimited(incoming);
  }

  function relayEvents(events: readonly StreamEvent[]): void {
    eventCount += events.length;
    onActivity();
    if (!hasSentHead) {
      hasSentHead = true;
      sink!.acceptHead(head!);
    }
    if (!sink!.acceptEvents(events)) {
      exchange.pause();
    }
  }

  function readEvents(bytes: Buffer): number {
    const events = splitter.push(bytes);
    if (events.length > 0) {
      relayEvents(events);
    }
    if (splitter.hasOverflowed()) {
      abort('event_too_large');
    }
    return Math.max(1, events.length);
  }

  function readData(bytes: Buffer): number {
    // node:http reads into a buffer and copies each part of the body.
    options.onRead?.(2 * bytes.length);
    if (isStream) {
      return readEvents(bytes);
    }
    onActivity();
    if (!body.append(bytes)) {
      abort('answer_too_large');
    }
    return 1;
  }

  function handleEnd(): void {
    if (head && isRefusal(head)) {
      endAttempt(
        AttemptEnd.NOT_RUN,
        head.metadata.isOtherServer ? 'other_server' : 'refused_by_server',
      );
      return;
    }
    if (isStream && splitter.countBuffered() > 0) {
      endAttempt(AttemptEnd.BROKEN, 'partial_event', {isCut: true});
      return;
    }
    // Without framing, a server that ended after the head looks the same.
    const mayBeEmpty = options.isResumed === true && isFramed;
    if (isStream && !hasSentHead && !mayBeEmpty) {
      endAttempt(AttemptEnd.BROKEN, 'empty_stream', {isCut: true});
      return;
    }
    endAttempt(AttemptEnd.COMPLETE, 'complete');
  }

  function handleFailure(error: Error, isSent: boolean): void {
    // A refusal is stated in the head, so an incomplete body is harmless.
    if (head && isRefusal(head)) {
      handleEnd();
      return;
    }
    const code = (error as NodeJS.ErrnoException).code ?? error.name;
    const end = isSent ? AttemptEnd.BROKEN : AttemptEnd.NOT_RUN;
    endAttempt(end, code.toLowerCase(), {
      isUnreachable: !isSent,
      isCut: isSent,
    });
  }

  const exchange: Exchange = startExchange(options, {
    onAnswer: readHead,
    onData: readData,
    onEnd: handleEnd,
    onFailure: handleFailure,
  });

  return {result, abort, resume: () => exchange.resume()};
}
