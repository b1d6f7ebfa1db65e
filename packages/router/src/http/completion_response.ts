/** Chat answers that are sent as one JSON response instead of a stream. */
import type {AnswerChunk, ChatRequest} from '../tasks/chat_request.js';
import {createJsonResponse} from './json_response.js';

/** A complete answer, assembled from its chunks. */
export interface Completion {
  text: string;
  tokens: number;
  /** OpenAI finish reason, such as `stop` or `length`. */
  finishReason: string | null;
  /** Usage reported by the engine; empty if there is none. */
  usage: Record<string, unknown>;
}

interface CompletionChunk {
  choices?: Array<{
    delta?: {content?: string};
    finish_reason?: string | null;
  }>;
  usage?: Record<string, unknown> | null;
}

/** Reads all chunks; `first` is one that was already read from `chunks`. */
export async function readCompletion(
  first: IteratorResult<AnswerChunk>,
  chunks: AsyncIterator<AnswerChunk>,
): Promise<Completion> {
  const answer: Completion = {
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

/** Creates an OpenAI-compatible `chat.completion` response. */
export function createCompletionResponse(
  request: ChatRequest,
  answer: Completion,
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
