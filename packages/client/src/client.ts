/**
 * Client with failover: retries on another instance, resumes interrupted
 * streams and reuses idempotency tickets.
 */
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
import {createEntryPool} from './entry_pool.js';
import {readEvents} from './events.js';

/** Options of {@link createClient}. */
export interface ClientOptions {
  /** Initial addresses of instances, `host:port`. */
  addresses: readonly string[];
  apiKey: string;
  dataCentre?: string;
  /** Maximum number of calls for one answer, retries included. */
  maximumCalls?: number;
  /** Time without a received byte after which a call has failed. */
  idleTimeoutMs?: number;
}

/** A chat request. */
export interface ChatCall {
  className: string;
  /** OpenAI-compatible request body; `stream` is always set to true. */
  body: Record<string, unknown>;
  /** Called with each piece of text, once and in order, across resumes. */
  onText?: (text: string) => void;
  signal?: AbortSignal;
}

/** A complete answer. */
export interface ChatAnswer {
  requestId: string;
  text: string;
  tokens: number;
  finishReason: string | null;
  /** Number of calls made, retries included. */
  calls: number;
}

/** A call to a plain service. */
export interface ServiceRequest {
  service: string;
  path: string;
  method?: string;
  body: Uint8Array | string;
  contentType?: string;
  /** Identifies the call; repeats with the same key are not executed again. */
  idempotencyKey?: string;
}

/** Answer of a plain service. */
export interface ServiceAnswer {
  status: number;
  contentType: string;
  body: Uint8Array;
  /** Whether this is the stored result of an earlier call. */
  replayed: boolean;
}

/** Calls the router; rejects with a {@link RouterError} that has an outcome. */
export interface Client {
  chat(call: ChatCall): Promise<ChatAnswer>;
  callService(call: ServiceRequest): Promise<ServiceAnswer>;
  close(): Promise<void>;
}

const DEFAULT_MAXIMUM_CALLS = 8;
const DEFAULT_IDLE_TIMEOUT_MS = 15 * SECOND_MS;
const CONNECT_TIMEOUT_MS = SECOND_MS;
const RETRY_DELAY_MS = 50;
const MAXIMUM_RETRY_DELAY_MS = 5 * SECOND_MS;

/** Statuses of failures that a retry may resolve. */
const RETRYABLE_STATUSES = new Set([429, 502, 503, 504]);

/** Error codes that are final, whatever their status. */
const NON_RETRYABLE_CODES = new Set(['answer_not_resumable']);

interface Problem {
  status: number;
  code: string;
  detail: string;
  outcome: string;
}

/** A failed call. */
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
  const isRetryable =
    RETRYABLE_STATUSES.has(status) && !NON_RETRYABLE_CODES.has(code);
  return {error, isRetryable};
}

/** Builds the failure of a broken connection; the request may have arrived. */
function toConnectionFailure(error: unknown): Failure {
  const detail = (error as Error).message;
  return {
    error: new RouterError('peer_unreachable', detail, {
      outcome: Outcome.UNKNOWN,
    }),
    isRetryable: true,
  };
}

/**
 * Whether the single attempt that a ticket allows was used up without reaching
 * the service. The next call then needs a new ticket.
 */
function isTicketSpent({code, outcome}: RouterError): boolean {
  return code === 'server_unreachable' && outcome === Outcome.NOT_RUN;
}

export function createClient(options: ClientOptions): Client {
  const {
    maximumCalls = DEFAULT_MAXIMUM_CALLS,
    idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS,
  } = options;
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    headersTimeout: idleTimeoutMs,
    bodyTimeout: idleTimeoutMs,
  });
  const entries = createEntryPool({
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

  /**
   * Repeats a call until it succeeds, its failure is final or `maximumCalls`
   * calls were made. If any of them may have run, the thrown error does not have
   * the outcome `not_run`.
   */
  async function callWithRetries<T>(
    call: (address: string) => Promise<T | Failure>,
    isSuccess: (value: T | Failure) => value is T,
    signal?: AbortSignal,
  ): Promise<T> {
    let mayHaveRun = false;
    for (let calls = 1; ; calls++) {
      const address = await entries.getCurrent();
      const value = await call(address).catch(toConnectionFailure);
      if (isSuccess(value)) {
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
      const delayMs = error.retryAfterMs ?? RETRY_DELAY_MS * calls;
      await waitFor(Math.min(delayMs, MAXIMUM_RETRY_DELAY_MS), signal);
    }
  }

  function isSuccessfulAnswer<T extends object>(
    value: T | Failure,
  ): value is T {
    return !('isRetryable' in value);
  }

  async function sendChat(
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
    return toConnectionFailure(
      new DOMException('the stream ended without a terminator'),
    );
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
      return callWithRetries(
        address => sendChat(address, call, answer),
        isSuccessfulAnswer<ChatAnswer>,
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
      return callWithRetries(callOnce, isSuccessfulAnswer<ServiceAnswer>);
    },
    close: () => agent.destroy(),
  };
}
