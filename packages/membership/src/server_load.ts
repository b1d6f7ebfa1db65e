/** Load of backend servers as their owners report it. */

/** Load of one backend server as its owner reports it. */
export interface ServerLoad {
  serverId: string;
  limit: number;
  inFlight: number;
  queued: number;
  /** Wait before a dispatch that the owner expects, in milliseconds. */
  expectedWaitMs: number;
  /** Recent time for each token of one stream, in milliseconds; 0 if unknown. */
  msPerToken: number;
  /** Phase of the server's state chart. */
  phase: string;
  /** Lowest priority that is queued or runs; 0 if none. */
  lowestTier: number;
}
