/** Parses the events of a streamed answer. */
import {createParser} from 'eventsource-parser';

export type AnswerEvent =
  | {
      type: 'text';
      text: string;
      /** Number of tokens up to and including this event. */
      offset: number;
      finishReason: string | null;
    }
  | {type: 'done'}
  | {
      type: 'error';
      problem: {status: number; code: string; detail: string; outcome: string};
    };

const TERMINATOR = '[DONE]';

interface CompletionChunk {
  choices?: Array<{
    delta?: {content?: string};
    finish_reason?: string | null;
  }>;
}

function parseEvent(
  name: string | undefined,
  data: string,
  id: string | undefined,
): AnswerEvent {
  if (data === TERMINATOR) {
    return {type: 'done'};
  }
  if (name === 'error') {
    return {type: 'error', problem: JSON.parse(data)};
  }
  const choice = (JSON.parse(data) as CompletionChunk).choices?.[0];
  return {
    type: 'text',
    text: choice?.delta?.content ?? '',
    offset: Number(id),
    finishReason: choice?.finish_reason ?? null,
  };
}

/** Yields the events of a body; there is no `done` event if it was truncated. */
export async function* readEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<AnswerEvent> {
  const pending: AnswerEvent[] = [];
  const decoder = new TextDecoder();
  const parser = createParser({
    onEvent: ({event, data, id}) => pending.push(parseEvent(event, data, id)),
  });
  for await (const bytes of body) {
    parser.feed(decoder.decode(bytes, {stream: true}));
    yield* pending.splice(0);
  }
}
