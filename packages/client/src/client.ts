/** A client that goes on to another entry, resumes streams and keeps tickets. */
import {randomUUID} from 'node:crypto';
import {
  Outcome,
  RouterError,
  SECOND_MS,
  createSystemClock,
  isErrorCode,
  waitFor,
} from '@buckthornbeam/shared';
import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';
import {createEntries} from './entries.js';
import {readEvents} from './events.js';

/** Options of {@link createClient}. */
export interface ClientOptions {
  /** Addresses known from the start, `host:port`. */
  addresses: readonly string[];
  apiKey: string;
  dataCentre?: string;
  /** Most calls that are made for one answer. */
  maximumCalls?: number;
  /** Time without a byte after which a call counts as failed, milliseconds. */
  idleTimeoutMs?: number;
}

/** A chat request. */
export interface ChatCall {
  className: string;
  /** OpenAI-compatible body; it is streamed in any case. */
  body: Record<string, unknown>;
  /** Called with each part, once and in order. */
  onText?: (text: string) => void;
  signal?: AbortSignal;
}

/** A whole answer. */
export interface ChatAnswer {
  requestId: string;
  text: string;
  tokens: number;
  finishReason: string | null;
  /** Calls that the answer took. */
  calls: number;
}

/** A call of a plain service. */
export interface ServiceRequest {
  service: string;
  path: string;
  method?: string;
  body: Uint8Array | string;
  contentType?: string;
  /** Names the call; a repeat with the same key is not run again. */
  idempotencyKey?: string;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  status: number;
  contentType: string;
  body: Uint8Array;
  /** Whether an earlier call executed it. */
  replayed: boolean;
}

/** Calls the service; failures are {@link RouterError}s with an outcome. */
export interface Client {
  chat(call: ChatCall): Promise<ChatAnswer>;
  callService(call: ServiceRequest): Promise<ServiceAnswer>;
  close(): Promise<void>;
}

const DEFAULT_CALLS = 8;
const DEFAULT_IDLE_TIMEOUT_MS = 15 * SECOND_MS;
const CONNECT_TIMEOUT_MS = SECOND_MS;
const RETRY_PAUSE_MS = 50;
const MAXIMUM_PAUSE_MS = 5 * SECOND_MS;

/** Statuses after which another call can go better. */
const RETRYABLE_STATUSES = new Set([429, 502, 503, 504]);

/** Codes that another call cannot mend, whatever their status. */
const FINAL_CODES = new Set(['answer_not_resumable']);

interface Problem {
  status: number;
  code: string;
  detail: string;
  outcome: string;
}

/** A failed call and whether to make another. */
interface Failure {
  error: RouterError;
  isRetryable: boolean;
}

function toFailure(problem: Problem, retryAfter?: string): Failure {
  const {code, detail, outcome, status} = problem;
  const error = new RouterError(isErrorCode(code) ? code : 'internal', detail, {
    outcome: outcome as Outcome,
    ...(retryAfter ? {retryAfterMs: Number(retryAfter) * SECOND_MS} : {}),
  });
  const isRetryable = RETRYABLE_STATUSES.has(status) && !FINAL_CODES.has(code);
  return {error, isRetryable};
}

/** The connection failed; the request may have arrived. */
function toBroken(error: unknown): Failure {
  const detail = (error as Error).message;
  return {
    error: new RouterError('peer_unreachable', detail, {
      outcome: Outcome.UNKNOWN,
    }),
    isRetryable: true,
  };
}

/** Whether the ticket's one attempt is over and provably reached no service. */
function isTicketSpent({code, outcome}: RouterError): boolean {
  return code === 'server_unreachable' && outcome === Outcome.NOT_RUN;
}

/** Creates a client. */
export function createClient(options: ClientOptions): Client {
  const {
    maximumCalls = DEFAULT_CALLS,
    idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS,
  } = options;
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: idleTimeoutMs,
    bodyTimeout: idleTimeoutMs,
  });
  const entries = createEntries({
    ...options,
    clock: createSystemClock(),
    dispatcher: agent,
  });
  const authorization = `Bearer ${options.apiKey}`;

  async function readFailure(
    response: Dispatcher.ResponseData,
  ): Promise<Failure> {
    const problem = (await response.body.json()) as Problem;
    const retryAfter = response.headers['retry-after'];
    return toFailure(problem, retryAfter as string | undefined);
  }

  /** Makes calls until one returns a value or a failure is final. */
  async function callUntilDone<T>(
    call: (address: string) => Promise<T | Failure>,
    isDone: (value: T | Failure) => value is T,
    signal?: AbortSignal,
  ): Promise<T> {
    let mayHaveRun = false;
    for (let calls = 1; ; calls++) {
      const address = await entries.getCurrent();
      const value = await call(address).catch(toBroken);
      if (isDone(value)) {
        return value;
      }
      const {error, isRetryable} = value as Failure;
      mayHaveRun ||= error.outcome !== Outcome.NOT_RUN;
      if (!isRetryable || calls >= maximumCalls || signal?.aborted) {
        throw mayHaveRun && error.outcome === Outcome.NOT_RUN
          ? new RouterError(error.code, error.message, {
              cause: error,
              outcome: Outcome.UNKNOWN,
            })
          : error;
      }
      entries.markFailed(address);
      const pauseMs = error.retryAfterMs ?? RETRY_PAUSE_MS * calls;
      await waitFor(Math.min(pauseMs, MAXIMUM_PAUSE_MS), signal);
    }
  }

  function isAnswer<T extends object>(value: T | Failure): value is T {
    return !('isRetryable' in value);
  }

  async function resumeChat(
    address: string,
    call: ChatCall,
    answer: ChatAnswer,
  ): Promise<ChatAnswer | Failure> {
    answer.calls += 1;
    const response = await request(`http://${address}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: agent,
      ...(call.signal ? {signal: call.signal} : {}),
      headers: {
        authorization,
        'content-type': 'application/json',
        'x-request-class': call.className,
        'x-request-id': answer.requestId,
        ...(answer.tokens > 0 ? {'last-event-id': String(answer.tokens)} : {}),
      },
      body: JSON.stringify({...call.body, stream: true}),
    });
    if (response.statusCode !== 200) {
      return readFailure(response);
    }
    for await (const event of readEvents(response.body)) {
      if (event.type === 'done') {
        return answer;
      }
      if (event.type === 'error') {
        return toFailure(event.problem);
      }
      answer.text += event.text;
      answer.tokens = event.offset;
      answer.finishReason = event.finishReason ?? answer.finishReason;
      call.onText?.(event.text);
    }
    return toBroken(new DOMException('the stream ended without a terminator'));
  }

  return {
    chat: call => {
      const answer: ChatAnswer = {
        requestId: randomUUID(),
        text: '',
        tokens: 0,
        finishReason: null,
        calls: 0,
      };
      return callUntilDone(
        address => resumeChat(address, call, answer),
        isAnswer<ChatAnswer>,
        call.signal,
      );
    },
    callService: call => {
      const {method = 'POST', contentType = 'application/json'} = call;
      const key = call.idempotencyKey ?? randomUUID();
      let ticket: string | undefined;
      const send = (address: string) =>
        request(`http://${address}/v1/services/${call.service}${call.path}`, {
          method: method as Dispatcher.HttpMethod,
          dispatcher: agent,
          headers: {
            authorization,
            'content-type': contentType,
            'idempotency-key': key,
            ...(ticket ? {'idempotency-ticket': ticket} : {}),
          },
          ...(method === 'GET' ? {} : {body: call.body}),
        });
      async function callOnce(
        address: string,
      ): Promise<ServiceAnswer | Failure> {
        let response = await send(address);
        if (response.statusCode === 428 && ticket === undefined) {
          await response.body.dump();
          ticket = String(response.headers['idempotency-ticket']);
          response = await send(address);
        }
        if (response.headers['x-outcome'] === undefined) {
          const failure = await readFailure(response);
          if (isTicketSpent(failure.error)) {
            ticket = undefined;
          }
          return failure;
        }
        return {
          status: response.statusCode,
          contentType: String(response.headers['content-type']),
          body: new Uint8Array(await response.body.arrayBuffer()),
          replayed: response.headers['x-replayed'] === 'true',
        };
      }
      return callUntilDone(callOnce, isAnswer<ServiceAnswer>);
    },
    close: () => agent.destroy(),
  };
}
