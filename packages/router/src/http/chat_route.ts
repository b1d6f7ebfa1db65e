/** POST /v1/chat/completions: streamed or whole. */
import {randomUUID} from 'node:crypto';
import {RouterError, toRouterError} from '@buckthornbeam/shared';
import type {AnswerChunk, ChatRequest} from '../tasks/chat_request.js';
import type {Entry} from '../tasks/entry.js';
import {checkChatFields, getMaximumTokens} from './chat_fields.js';
import {createJsonResponse} from './json_response.js';
import {buildProblem, createProblemResponse} from './problem.js';

const encoder = new TextEncoder();

function encodeEvent(data: string, id?: number, name?: string): Uint8Array {
  const idLine = id === undefined ? '' : `id: ${id}\n`;
  const nameLine = name === undefined ? '' : `event: ${name}\n`;
  return encoder.encode(`${nameLine}${idLine}data: ${data}\n\n`);
}

/** Builds the chat request of an HTTP call; throws a {@link RouterError}. */
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
  return {
    requestId: request.headers.get('x-request-id') ?? randomUUID(),
    className,
    model: body['model'] as string,
    body,
    maximumTokens: getMaximumTokens(body),
    resumeOffset: Number(request.headers.get('last-event-id') ?? 0),
  };
}

function createStream(
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
    },
  });
}

/** Text and totals of a whole answer. */
async function readWholeAnswer(
  first: IteratorResult<AnswerChunk>,
  chunks: AsyncIterator<AnswerChunk>,
): Promise<{text: string; tokens: number}> {
  let text = '';
  let tokens = 0;
  for (let next = first; !next.done; next = await chunks.next()) {
    const event = JSON.parse(next.value.data) as {
      choices?: Array<{delta?: {content?: string}}>;
    };
    text += event.choices?.[0]?.delta?.content ?? '';
    tokens = next.value.offset + next.value.tokens;
  }
  return {text, tokens};
}

function createWholeResponse(
  request: ChatRequest,
  answer: {text: string; tokens: number},
): Response {
  const completion = {
    id: request.requestId,
    object: 'chat.completion',
    model: request.model,
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content: answer.text},
        finish_reason: 'stop',
      },
    ],
    usage: {completion_tokens: answer.tokens},
  };
  return createJsonResponse(completion, {
    headers: {'x-request-id': request.requestId},
  });
}

/** Answers a chat request; errors before the first chunk have a status. */
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
      return createWholeResponse(chat, await readWholeAnswer(first, chunks));
    }
    return new Response(createStream(first, chunks, abort), {
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
