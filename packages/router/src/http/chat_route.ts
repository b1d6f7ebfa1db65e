/** POST /v1/chat/completions, streamed or as one JSON response. */
import {randomUUID} from 'node:crypto';
import {RouterError, toRouterError} from '@buckthornbeam/shared';
import type {AnswerChunk, ChatRequest} from '../tasks/chat_request.js';
import type {Entry} from '../tasks/entry.js';
import {checkChatFields, getMaximumTokens} from './chat_fields.js';
import {buildProblem, createProblemResponse} from './problem.js';
import {
  createCompletionResponse,
  readCompletion,
} from './completion_response.js';

const encoder = new TextEncoder();

/** Encodes a server-sent event. */
function encodeEvent(data: string, id?: number, name?: string): Uint8Array {
  const idLine = id === undefined ? '' : `id: ${id}\n`;
  const nameLine = name === undefined ? '' : `event: ${name}\n`;
  return encoder.encode(`${nameLine}${idLine}data: ${data}\n\n`);
}

/** Largest resume offset; the dispatch protocol sends it as a uint32. */
const MAXIMUM_OFFSET_TOKENS = 0xffffffff;

function parseResumeOffset(header: string | null): number {
  const offset = Number(header ?? 0);
  const isValid = /^\d*$/.test(header ?? '') && offset <= MAXIMUM_OFFSET_TOKENS;
  if (!isValid) {
    throw new RouterError(
      'invalid_request',
      'last-event-id must be the id of a received event',
    );
  }
  return offset;
}

/**
 * Builds a chat request from an HTTP request and its parsed body.
 *
 * @throws RouterError `invalid_request` or `unknown_class`
 */
export function parseChatRequest(
  request: Request,
  body: Record<string, unknown>,
): ChatRequest {
  checkChatFields(body);
  const className = request.headers.get('x-request-class');
  if (!className) {
    throw new RouterError(
      'unknown_class',
      'the header x-request-class is missing',
    );
  }
  const resumeOffset = parseResumeOffset(request.headers.get('last-event-id'));
  if (resumeOffset > 0 && body['stream'] !== true) {
    throw new RouterError('invalid_request', 'only a stream can be resumed');
  }
  return {
    requestId: request.headers.get('x-request-id') ?? randomUUID(),
    className,
    model: body['model'] as string,
    body,
    maximumTokens: getMaximumTokens(body),
    resumeOffset,
  };
}

function createEventStream(
  first: IteratorResult<AnswerChunk>,
  chunks: AsyncIterator<AnswerChunk>,
  abort: AbortController,
): ReadableStream<Uint8Array> {
  let pending: IteratorResult<AnswerChunk> | undefined = first;
  return new ReadableStream<Uint8Array>({
    async pull(controller) {
      try {
        const next = pending ?? (await chunks.next());
        pending = undefined;
        if (next.done) {
          controller.enqueue(encodeEvent('[DONE]'));
          controller.close();
          return;
        }
        const {data, offset, tokens} = next.value;
        controller.enqueue(encodeEvent(data, offset + tokens));
      } catch (error) {
        const problem = buildProblem(toRouterError(error));
        controller.enqueue(
          encodeEvent(JSON.stringify(problem), undefined, 'error'),
        );
        controller.close();
      }
    },
    cancel() {
      abort.abort();
      // Ends a generator that is suspended at a yield.
      void chunks.return?.();
    },
  });
}

/**
 * Answers a chat request. An error before the first chunk becomes a problem
 * document with its status; a later one becomes the last event of the stream.
 */
export async function answerChat(
  entry: Entry,
  customerId: string,
  chat: ChatRequest,
  callerSignal: AbortSignal,
): Promise<Response> {
  const abort = new AbortController();
  callerSignal.addEventListener('abort', () => abort.abort());
  const iterable = entry.answer(customerId, chat, abort.signal);
  const chunks = iterable[Symbol.asyncIterator]();
  try {
    const first = await chunks.next();
    if (chat.body['stream'] !== true) {
      return createCompletionResponse(
        chat,
        await readCompletion(first, chunks),
      );
    }
    return new Response(createEventStream(first, chunks, abort), {
      headers: {
        'content-type': 'text/event-stream',
        'cache-control': 'no-cache',
        'x-request-id': chat.requestId,
      },
    });
  } catch (error) {
    return createProblemResponse(toRouterError(error), {
      'x-request-id': chat.requestId,
    });
  }
}
