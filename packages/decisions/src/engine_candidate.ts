/** What is known of model servers and of a generation when it is placed. */

/** What an instance knows of a model server. */
export interface EngineCandidate {
  serverId: string;
  /** Requests that it works on at once. */
  slots: number;
  memoryTokens: number;
  /** Requests in flight from all instances. */
  inFlight: number;
  /** Requests in flight from this instance alone. */
  ownInFlight: number;
  /** Prompt tokens that are still to be read there. */
  unreadTokens: number;
  /** Tokens of all requests in flight. */
  inFlightTokens: number;
  /** Prompt tokens that were sent to it lately, per millisecond. */
  readingPerMs: number;
  /** Tokens of the request's prompt that it holds, or will by its turn. */
  heldTokens: number;
  /** Tokens of the request's prompt that it is known to have read. */
  readTokens: number;
  /** Recent share of failed requests, from 0 to 1. */
  failureRate: number;
}

/** The generation that is placed. */
export interface EngineRequest {
  promptTokens: number;
  /** Tokens of the parts that other requests share. */
  sharedTokens: number;
  /** Identity of the shared parts; empty where nothing is shared. */
  sharedKey: string;
  outputTokens: number;
  /** Time within which the first event is on time, in milliseconds. */
  targetMs: number;
  /** Longest pause between events that is on time, in milliseconds. */
  pauseMs?: number | undefined;
  /** Time left until the answer must be whole, in milliseconds. */
  leftMs: number;
}

/** Options of {@link placeGeneration}. */
export interface PlacementOptions {
  /** Prompt tokens that a server reads in a millisecond. */
  tokensPerMs: number;
  /** Output tokens in one event of a stream. */
  tokensPerEvent?: number;
  /**
   * Tokens of memory that one server copies from another in a millisecond; 0
   * where servers cannot copy.
   */
  copiedTokensPerMs?: number;
  /** Servers set apart for short prompts. */
  shortPool: ReadonlySet<string>;
  /** Instances that send requests, with this one. */
  instances: number;
}
