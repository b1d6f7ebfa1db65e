/** What a model server is in an experiment, and what it is asked for. */

/** Speed and size of a model server. */
export interface EngineProfile {
  /** Requests that it works on at once. */
  slots: number;
  /** Requests that wait there; more are refused. */
  maximumWaiting: number;
  memoryTokens: number;
  /** Time of a step without any work, in milliseconds. */
  stepMs: number;
  /** What each request under way adds to a step, in milliseconds. */
  stepMsPerRequest: number;
  /** What a thousand tokens of context add to a step, in milliseconds. */
  contextMsPerThousand: number;
  /** Prompt tokens read in a millisecond. */
  readingTokensPerMs: number;
  /** Prompt tokens read in one step at most. */
  chunkTokens: number;
  /** Output tokens in one event of a stream. */
  tokensPerEvent: number;
  /** Tokens copied from another server in a millisecond; 0 for none. */
  copiedTokensPerMs: number;
  /** Time in which a copy is set up, in milliseconds. */
  copySetUpMs: number;
}

/** One part of a prompt. */
export interface ModelPart {
  /** Identity with all parts before it; empty for a part that nobody shares. */
  key: string;
  tokens: number;
}

/** A request at a model server. */
export interface EngineJob {
  /** 0 is the most urgent. */
  urgency: number;
  parts: readonly ModelPart[];
  outputTokens: number;
  /** Server that is asked for shared parts first. */
  copySource?: EngineModel;
  onEvent: (isLast: boolean) => void;
  /** The server crashed. */
  onBroken: () => void;
}

/** What a server has done. */
export interface EngineTotals {
  readTokens: number;
  copiedTokens: number;
  preemptions: number;
}

/** A model server. */
export interface EngineModel {
  readonly totals: Readonly<EngineTotals>;
  readonly isUp: boolean;
  /** Whether a part is in memory. */
  holds(key: string): boolean;
  /** False if the server is down or its queue is full. */
  submit(job: EngineJob): boolean;
  /** Drops a request whose caller has left. */
  cancel(job: EngineJob): void;
  /** Loses all requests and its memory. */
  crash(): void;
  start(): void;
}
