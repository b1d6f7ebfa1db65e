/** HTTP client for engines: streams OpenAI-compatible chat completions. */
import {RouterError} from '@buckthornbeam/shared';
import {
  AttemptEvent,
  createAttemptRecord,
  isConnectFailure,
} from '@buckthornbeam/decisions';
import type {AttemptRecord} from '@buckthornbeam/decisions';
import {createParser} from 'eventsource-parser';
import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';

/** One event of an engine's streamed answer. */
export interface EngineChunk {
  /** Index of the chunk's first token in the answer. */
  offset: number;
  tokens: number;
  /** Event data as sent by the engine, in JSON. */
  data: string;
}

/** A streaming request to an engine. */
export interface EngineCall {
  /** `host:port` of the engine. */
  address: string;
  attemptId: string;
  requestId: string;
  tier: number;
  resumeOffset: number;
  /** OpenAI-compatible request body, in JSON. */
  body: Uint8Array;
  signal: AbortSignal;
  /** Longest time without a received byte, in milliseconds. */
  idleTimeoutMs: number;
}

/** Load as reported by an engine; may be seconds out of date. */
export interface LoadReport {
  running: number;
  waiting: number;
  /** Requests finished since the engine started. */
  completed: number;
  /** Changes at every start of the engine; empty if it reports none. */
  incarnation: string;
}

export interface EngineClient {
  /** @throws RouterError `server_unreachable` on any status but 200 */
  fetchLoad(address: string, timeoutMs: number): Promise<LoadReport>;
  /**
   * Sends a request and yields the chunks of the answer up to the terminator.
   *
   * @throws RouterError `server_unreachable`, `cancelled`, `server_refused` or
   * `answer_truncated`, with the outcome of the attempt
   */
  streamAnswer(call: EngineCall): AsyncGenerator<EngineChunk>;
  close(): Promise<void>;
}

/** Status codes with which an engine rejects a request without running it. */
const REFUSAL_STATUSES = new Set([429, 503]);

const CONNECT_TIMEOUT_MS = 1000;

const TERMINATOR = '[DONE]';

function toOpenError(
  error: unknown,
  attempt: AttemptRecord,
  signal: AbortSignal,
): RouterError {
  if (!isConnectFailure(error)) {
    attempt.record(AttemptEvent.WRITTEN);
  }
  const code = signal.aborted ? 'cancelled' : 'server_unreachable';
  return new RouterError(code, (error as Error).message, {
    outcome: attempt.getOutcome(),
  });
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

/** Parses an event; its offset defaults to the end of the previous chunk. */
function parseChunk(data: string, expectedOffset: number): EngineChunk {
  const event = JSON.parse(data) as {offset?: unknown; tokens?: unknown};
  const {offset = expectedOffset, tokens = 1} = event;
  if (!isCount(offset) || !isCount(tokens)) {
    throw new RouterError(
      'answer_truncated',
      'an event has an invalid offset or token count',
    );
  }
  return {offset, tokens, data};
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

function parseLoadReport(value: unknown): LoadReport {
  const fields = value as Record<string, unknown>;
  return {
    running: Number(fields['running'] ?? 0),
    waiting: Number(fields['waiting'] ?? 0),
    completed: Number(fields['completed'] ?? 0),
    incarnation: String(fields['startedAt'] ?? ''),
  };
}

/** Creates a client that opens a connection for each request to an engine. */
export function createEngineClient(): EngineClient {
  // On a reused connection, an extra copy of an earlier answer would be taken for the
  // next one, since engines need not repeat the id of a request.
  const agent = new Agent({
    connect: {timeout: CONNECT_TIMEOUT_MS},
    pipelining: 0,
  });

  async function openStream(
    call: EngineCall,
    attempt: AttemptRecord,
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
      throw toOpenError(error, attempt, call.signal);
    }
  }

  async function checkStatus(
    response: Dispatcher.ResponseData,
    attempt: AttemptRecord,
  ): Promise<void> {
    if (response.statusCode === 200) {
      return;
    }
    const text = await response.body.text();
    if (REFUSAL_STATUSES.has(response.statusCode)) {
      attempt.record(AttemptEvent.REFUSED);
    }
    throw new RouterError(
      'server_refused',
      `the engine answered with status ${response.statusCode}: ${text.slice(0, 200)}`,
      {outcome: attempt.getOutcome()},
    );
  }

  async function fetchLoad(
    address: string,
    timeoutMs: number,
  ): Promise<LoadReport> {
    const response = await request(`http://${address}/load`, {
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new RouterError(
        'server_unreachable',
        `the engine answered GET /load with status ${response.statusCode}`,
      );
    }
    return parseLoadReport(await response.body.json());
  }

  return {
    fetchLoad,
    async *streamAnswer(call) {
      const attempt = createAttemptRecord();
      const response = await openStream(call, attempt);
      attempt.record(AttemptEvent.WRITTEN);
      await checkStatus(response, attempt);
      attempt.record(AttemptEvent.ANSWERING);
      let nextOffset = 0;
      try {
        for await (const data of parseEvents(response.body)) {
          if (data === TERMINATOR) {
            return;
          }
          const chunk = parseChunk(data, nextOffset);
          nextOffset = chunk.offset + chunk.tokens;
          yield chunk;
        }
      } catch (error) {
        throw new RouterError(
          'answer_truncated',
          `the engine's stream failed: ${(error as Error).message}`,
          {outcome: attempt.getOutcome()},
        );
      }
      throw new RouterError(
        'answer_truncated',
        "the engine's stream ended without a terminator",
        {outcome: attempt.getOutcome()},
      );
    },
    close: () => agent.destroy(),
  };
}
