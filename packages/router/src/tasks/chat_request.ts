/** Messages between the HTTP routes and the entry task. */

/** A chat request whose fields have been validated. */
export interface ChatRequest {
  requestId: string;
  className: string;
  model: string;
  /** OpenAI-compatible body. */
  body: Record<string, unknown>;
  /** Limit of the answer that the caller set, in tokens. */
  maximumTokens: number | undefined;
  /** Offset in tokens from which to resume the answer; 0 for a new one. */
  resumeOffset: number;
}

/** One chunk of a streamed answer. */
export interface AnswerChunk {
  /** Tokens of the answer before this chunk. */
  offset: number;
  tokens: number;
  /** One OpenAI-compatible event as JSON. */
  data: string;
}
