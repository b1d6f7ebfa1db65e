/** A request in an owner's queue. */

/** A request that waits for, or runs on, a backend server. */
export interface QueuedRequest {
  attemptId: string;
  className: string;
  customerId: string;
  /** 1 is the highest priority. */
  tier: number;
  /** Time at which the class target is missed, in monotonic milliseconds. */
  deadline: number;
  /** Estimated work, in tokens. */
  estimatedTokens: number;
}
