/** Answers that are sent whole instead of as a stream. */
import type {AnswerChunk, ChatRequest} from '../tasks/chat_request.js';
import {createJsonResponse} from './json_response.js';

/** A whole answer, put together from its chunks. */
export interface WholeAnswer {
  text: string;
  tokens: number;
  /** Why the engine ended the answer, such as `stop` or `length`. */
  finishReason: string | null;
  /** Totals as the engine reports them, if it does. */
  usage: Record<string, unknown>;
}

interface CompletionChunk {
  choices?: Array<{
    delta?: {content?: string};
    finish_reason?: string | null;
  }>;
  usage?: Record<string, unknown> | null;
}

/** Reads all chunks; `first` was taken from them before. */
export async function readWholeAnswer(
  first: IteratorResult<AnswerChunk>,
  chunks: AsyncIterator<AnswerChunk>,
): Promise<WholeAnswer> {
  const answer: WholeAnswer = {
    text: '',
    tokens: 0,
    finishReason: null,
    usage: {},
  };
  for (let next = first; !next.done; next = await chunks.next()) {
    const chunk = JSON.parse(next.value.data) as CompletionChunk;
    const choice = chunk.choices?.[0];
    answer.text += choice?.delta?.content ?? '';
    answer.finishReason = choice?.finish_reason ?? answer.finishReason;
    answer.usage = chunk.usage ?? answer.usage;
    answer.tokens = next.value.offset + next.value.tokens;
  }
  return answer;
}

/** Creates the response with a whole answer. */
export function createWholeResponse(
  request: ChatRequest,
  answer: WholeAnswer,
): Response {
  const completion = {
    id: request.requestId,
    object: 'chat.completion',
    model: request.model,
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content: answer.text},
        finish_reason: answer.finishReason,
      },
    ],
    usage: {completion_tokens: answer.tokens, ...answer.usage},
  };
  return createJsonResponse(completion, {
    headers: {'x-request-id': request.requestId},
  });
}
