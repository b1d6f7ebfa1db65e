/** A request that is queued for or runs on a backend server. */
export interface QueuedRequest {
  attemptId: string;
  className: string;
  customerId: string;
  /** 1 is the highest priority. */
  tier: number;
  /**
   * Time by which the class target requires the first token, in monotonic
   * milliseconds.
   */
  deadline: number;
  /** Estimated work, in tokens. */
  estimatedTokens: number;
}
