/** Client of the engines: OpenAI-compatible streamed completions. */
import {RouterError, toRouterError} from '@buckthornbeam/shared';
import {createAttemptProgress, resolveOutcome} from '@buckthornbeam/decisions';
import type {AttemptProgress} from '@buckthornbeam/decisions';
import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';

/** A part of an engine's answer. */
export interface EngineChunk {
  /** Position of its first token in the whole answer. */
  offset: number;
  tokens: number;
  /** The event as sent by the engine, JSON. */
  data: string;
}

/** A call of an engine. */
export interface EngineCall {
  /** `host:port` of the engine. */
  address: string;
  attemptId: string;
  requestId: string;
  tier: number;
  resumeOffset: number;
  /** OpenAI-compatible body, JSON. */
  body: Uint8Array;
  signal: AbortSignal;
  /** Longest time without a byte, in milliseconds. */
  idleTimeoutMs: number;
}

/** Streams answers from engines. */
export interface EngineClient {
  /** Yields chunks up to the terminator; throws a {@link RouterError}. */
  streamAnswer(call: EngineCall): AsyncGenerator<EngineChunk>;
  close(): Promise<void>;
}

/** Errors that undici raises before a connection exists. */
const CONNECT_ERRORS = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Status codes by which an engine says that it did not run the request. */
const REFUSAL_STATUSES = new Set([429, 503]);

const CONNECT_TIMEOUT_MS = 1000;

const TERMINATOR = '[DONE]';

function toConnectError(error: unknown, progress: AttemptProgress) {
  const code = (error as {code?: string}).code ?? '';
  if (CONNECT_ERRORS.has(code)) {
    return new RouterError('server_unreachable', `no connection: ${code}`);
  }
  progress.bytesWritten = true;
  return toRouterError(error, resolveOutcome(progress));
}

function parseChunk(data: string): EngineChunk {
  const event = JSON.parse(data) as {offset?: number; tokens?: number};
  return {offset: event.offset ?? 0, tokens: event.tokens ?? 0, data};
}

async function* parseEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<string> {
  const pending: string[] = [];
  const decoder = new TextDecoder();
  const parser = createParser({onEvent: event => pending.push(event.data)});
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, {stream: true}));
    yield* pending.splice(0);
  }
}

/** Creates a client that keeps connections to the engines open. */
export function createEngineClient(): EngineClient {
  const agent = new Agent({connect: {timeout: CONNECT_TIMEOUT_MS}});

  async function openStream(
    call: EngineCall,
    progress: AttemptProgress,
  ): Promise<Dispatcher.ResponseData> {
    try {
      return await request(`http://${call.address}/v1/chat/completions`, {
        method: 'POST',
        dispatcher: agent,
        signal: call.signal,
        headersTimeout: call.idleTimeoutMs,
        bodyTimeout: call.idleTimeoutMs,
        headers: {
          'content-type': 'application/json',
          'x-request-id': call.requestId,
          'x-attempt-id': call.attemptId,
          'x-priority': String(call.tier),
          'x-resume-offset': String(call.resumeOffset),
        },
        body: call.body,
      });
    } catch (error) {
      throw toConnectError(error, progress);
    }
  }

  async function checkStatus(
    response: Dispatcher.ResponseData,
    progress: AttemptProgress,
  ): Promise<void> {
    if (response.statusCode === 200) {
      return;
    }
    const text = await response.body.text();
    progress.refusedByServer = REFUSAL_STATUSES.has(response.statusCode);
    throw new RouterError(
      'server_refused',
      `the engine answered ${response.statusCode}: ${text.slice(0, 200)}`,
      {outcome: resolveOutcome(progress)},
    );
  }

  return {
    async *streamAnswer(call) {
      const progress = createAttemptProgress();
      const response = await openStream(call, progress);
      progress.bytesWritten = true;
      await checkStatus(response, progress);
      try {
        for await (const data of parseEvents(response.body)) {
          if (data === TERMINATOR) {
            return;
          }
          yield parseChunk(data);
        }
      } catch (error) {
        throw new RouterError(
          'answer_truncated',
          `the engine's stream broke: ${(error as Error).message}`,
          {outcome: resolveOutcome(progress)},
        );
      }
      throw new RouterError(
        'answer_truncated',
        "the engine's stream ended without a terminator",
        {outcome: resolveOutcome(progress)},
      );
    },
    close: () => agent.destroy(),
  };
}
