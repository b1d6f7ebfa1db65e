/** Simulated model servers: their profile, interface and jobs. */

import type {ServerStatement} from '@buckthornbeam/decisions';
import type {ServerNeedState} from './server_need.js';

/** Speed and capacity of a model server. */
export interface EngineProfile {
  /** Maximum batch size, in requests. */
  slots: number;
  /** Maximum length of the queue; further requests are rejected. */
  maximumWaitingRequests: number;
  /** Capacity of the KV cache. */
  kvCacheTokens: number;
  /** Fixed time of a step, in milliseconds. */
  stepMs: number;
  /** Additional step time for each request in the batch, in milliseconds. */
  stepMsPerRequest: number;
  /** Additional step time for 1000 tokens of context, in milliseconds. */
  contextMsPerThousandTokens: number;
  /** Prefill rate, in prompt tokens per millisecond. */
  prefillTokensPerMs: number;
  /** Maximum number of prompt tokens prefilled in one step. */
  prefillChunkTokens: number;
  /** Output tokens in one event of a stream. */
  tokensPerEvent: number;
  /**
   * Rate at which KV cache is copied from another server, in tokens per
   * millisecond; 0 if servers cannot copy.
   */
  copiedTokensPerMs: number;
  /** Fixed time to set up a copy, in milliseconds. */
  copySetUpMs: number;
}

/** A block of consecutive prompt tokens. */
export interface PromptBlock {
  /**
   * Identifies the prefix that ends with this block: two prompts with equal
   * keys have equal tokens up to here. Empty for a block that is not shared.
   */
  key: string;
  tokens: number;
}

/** A request as submitted to a model server. */
export interface EngineJob {
  /** 0 is the most urgent. */
  urgency: number;
  /** Blocks of the prompt in order, shared blocks first. */
  blocks: readonly PromptBlock[];
  outputTokens: number;
  /** Server whose KV cache shared blocks are copied from. */
  copySource?: SimulatedEngine;
  onEvent: (isLast: boolean) => void;
  /** Called when the server crashes before the last event. */
  onCrash: () => void;
}

/** Counters of a server since the start of the simulation. */
export interface EngineTotals {
  /** Prefilled tokens, including output recomputed after a preemption. */
  prefilledTokens: number;
  copiedTokens: number;
  preemptions: number;
}

/** A simulated model server. */
export interface SimulatedEngine {
  readonly totals: Readonly<EngineTotals>;
  readonly isUp: boolean;
  /** Builds what an answer states about the server. */
  buildStatement(isRefusal: boolean): ServerStatement;
  /** Whether the KV cache contains the shared block with this key. */
  isCached(key: string): boolean;
  /** Returns false if the server is down, in need, or its queue is full. */
  submit(job: EngineJob): boolean;
  /** Drops a waiting or running job whose caller disconnected. */
  cancel(job: EngineJob): void;
  /** Takes the server down; all jobs and the KV cache are lost. */
  crash(): void;
  /** Begins to leave: the server goes on until it is taken down. */
  leave(): void;
  /** Asks for less load from now on; undefined ends that. */
  setNeed(need: ServerNeedState | undefined): void;
  start(): void;
}
