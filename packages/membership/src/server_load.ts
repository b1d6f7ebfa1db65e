/** Load reports of backend servers. */

/** Load of one backend server as reported by its owner. */
export interface ServerLoad {
  serverId: string;
  limit: number;
  inFlight: number;
  queued: number;
  /** Estimated queueing time before dispatch, in milliseconds. */
  expectedWaitMs: number;
  /** Recent milliseconds per output token of one stream; 0 if unknown. */
  msPerToken: number;
  /** State of the server's state chart. */
  phase: string;
  /** Tier of the lowest-priority request queued or running; 0 if none. */
  lowestTier: number;
}
