/** Inputs of the placement of a generation on a model server. */

/** A model server with its load, as estimated by one instance. */
export interface EngineCandidate {
  serverId: string;
  /** Requests that it processes concurrently; further ones are queued. */
  slots: number;
  /** Capacity of the KV cache, in tokens. */
  kvCacheTokens: number;
  /** Requests in flight from all instances. */
  inFlight: number;
  /** Requests in flight from this instance only. */
  ownInFlight: number;
  /** Prompt tokens of the requests in flight that are not prefilled yet. */
  pendingPrefillTokens: number;
  /** Uncached prompt and expected output tokens of all requests in flight. */
  inFlightTokens: number;
  /** Recent rate of prompt tokens sent to the server, per millisecond. */
  prefillTokensPerMs: number;
  /**
   * Leading tokens of the request's prompt that are cached, or will be by the
   * time the request is prefilled.
   */
  cachedTokens: number;
  /** Leading tokens of the request's prompt whose prefill has finished. */
  prefilledTokens: number;
  /** Recent ratio of failed requests, from 0 to 1. */
  failureRate: number;
  /** Speed relative to the usual; 1 by default. */
  speed?: number;
}

/** The generation to place. */
export interface EngineRequest {
  promptTokens: number;
  /** Length of the prompt prefix that other requests share, in tokens. */
  sharedTokens: number;
  /** Identifier of the shared prefix; empty if nothing is shared. */
  sharedKey: string;
  /** Expected length of the answer, in tokens. */
  outputTokens: number;
  /** Target time until the first event of the stream, in milliseconds. */
  targetMs: number;
  /** Target for the longest pause between two events, in milliseconds. */
  pauseMs?: number | undefined;
  /** Time until the answer has to be complete, in milliseconds. */
  remainingMs: number;
}

/** How a generation takes part in spreading the load that no report contains. */
export interface EvenLoadOptions {
  /** Prompt tokens that all instances may have sent since the load reports. */
  unseenTokens: number;
  /** Number in [0, 1), evenly distributed over the requests. */
  position: number;
}

/** Options of {@link placeGeneration}. */
export interface PlacementOptions {
  /** Prefill speed of a server, in prompt tokens per millisecond. */
  tokensPerMs: number;
  /** Output tokens in one event of a stream; 0 (default) if not known. */
  tokensPerEvent?: number;
  /**
   * Speed of copying cached tokens from server to server, per millisecond; 0 if
   * servers cannot copy.
   */
  copiedTokensPerMs?: number;
  /** Servers reserved for short prompts. */
  shortPool: ReadonlySet<string>;
  /** Number of instances that send requests, including this one. */
  instances: number;
  /** Spreads by stale reports; without it the server of the lowest cost is chosen. */
  evenLoad?: EvenLoadOptions | undefined;
}
