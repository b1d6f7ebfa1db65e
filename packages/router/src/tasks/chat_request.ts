/** Messages between the HTTP routes and the entry task. */

/** A checked chat request. */
export interface ChatRequest {
  requestId: string;
  className: string;
  model: string;
  /** OpenAI-compatible body. */
  body: Record<string, unknown>;
  maximumTokens: number | undefined;
  /** Offset in tokens from which the caller wants to continue. */
  resumeOffset: number;
}

/** A part of an answer on its way to the caller. */
export interface AnswerChunk {
  offset: number;
  tokens: number;
  /** One OpenAI-compatible event, JSON. */
  data: string;
}
