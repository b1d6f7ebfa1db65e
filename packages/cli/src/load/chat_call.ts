/** Sends one streamed chat call of the load generator and measures it. */
import type {LoadClass} from '@buckthornbeam/config';
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import type {Dispatcher} from 'undici';

/** Result of one call. */
export interface CallResult {
  /** `ok`, the code of a problem document, or `no_connection`. */
  code: string;
  outcome: string;
  firstTokenMs: number | undefined;
  /** Longest time between two consecutive events. */
  longestGapMs: number;
  totalMs: number;
  tokens: number;
}

/** Options of {@link runChatCall}. */
export interface ChatCallOptions {
  address: string;
  load: LoadClass;
  prompt: string;
  dispatcher: Dispatcher;
}

interface Problem {
  code?: string;
  outcome?: string;
}

const TERMINATOR = '[DONE]';

function makeFailure(code: string, outcome: string, totalMs: number) {
  return {
    code,
    outcome,
    firstTokenMs: undefined,
    longestGapMs: 0,
    totalMs,
    tokens: 0,
  };
}

/**
 * Reads a stream to its end. The result is `answer_truncated` unless the stream
 * has a terminator or an error event.
 */
async function readStream(
  body: AsyncIterable<Uint8Array>,
  startedAt: number,
): Promise<CallResult> {
  let lastEventAt = startedAt;
  const result: CallResult = makeFailure('answer_truncated', 'unknown', 0);
  const parser = createParser({
    onEvent: ({event, data}) => {
      if (event === 'error') {
        const problem = JSON.parse(data) as Problem;
        result.code = problem.code ?? 'internal';
        result.outcome = problem.outcome ?? 'unknown';
        return;
      }
      if (data === TERMINATOR) {
        result.code = 'ok';
        result.outcome = 'completed';
        return;
      }
      const now = performance.now();
      if (result.firstTokenMs === undefined) {
        result.firstTokenMs = now - startedAt;
      } else {
        result.longestGapMs = Math.max(result.longestGapMs, now - lastEventAt);
      }
      lastEventAt = now;
      result.tokens += 1;
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, {stream: true}));
  }
  return {...result, totalMs: performance.now() - startedAt};
}

function sendCall(options: ChatCallOptions): Promise<Dispatcher.ResponseData> {
  const {address, load, prompt, dispatcher} = options;
  return request(`http://${address}/v1/chat/completions`, {
    method: 'POST',
    dispatcher,
    headers: {
      authorization: `Bearer ${load.apiKey}`,
      'content-type': 'application/json',
      'x-request-class': load.class,
    },
    body: JSON.stringify({
      model: load.model,
      messages: [{role: 'user', content: prompt}],
      max_tokens: load.maximumTokens,
      stream: true,
    }),
  });
}

/** Runs one call; a failure is returned as a result. */
export async function runChatCall(
  options: ChatCallOptions,
): Promise<CallResult> {
  const startedAt = performance.now();
  try {
    const response = await sendCall(options);
    if (response.statusCode === 200) {
      return await readStream(response.body, startedAt);
    }
    const problem = (await response.body.json()) as Problem;
    return makeFailure(
      problem.code ?? 'internal',
      problem.outcome ?? 'unknown',
      performance.now() - startedAt,
    );
  } catch {
    const totalMs = performance.now() - startedAt;
    return makeFailure('no_connection', 'unknown', totalMs);
  }
}
