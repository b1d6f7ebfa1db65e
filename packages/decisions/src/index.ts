/** Pure decisions: they take state, a message and the time. */
export {createAttemptProgress, resolveOutcome} from './attempt.js';
export type {AttemptProgress} from './attempt.js';
export {createFairShare} from './fair_share.js';
export type {FairShare, FairShareOptions} from './fair_share.js';
export {createMinimumShares} from './minimum_share.js';
export type {MinimumShares, MinimumSharesOptions} from './minimum_share.js';
export {createOutputEstimator} from './output_estimator.js';
export type {
  OutputEstimator,
  OutputEstimatorOptions,
  OutputKey,
} from './output_estimator.js';
export {computeRelativeLoad, placeRequest} from './placement.js';
export type {PlacementCandidate, PlacementRequest} from './placement.js';
export {createPrefixTable} from './prefix_table.js';
export type {PrefixTable, Prompt} from './prefix_table.js';
export type {QueuedRequest} from './queued_request.js';
export {createRetryBudget} from './retry_budget.js';
export type {RetryBudget} from './retry_budget.js';
export {createServerLimit} from './server_limit.js';
export type {
  LimitMessage,
  ServerLimit,
  ServerLimitOptions,
} from './server_limit.js';
export {createServerQueue} from './server_queue.js';
export type {
  QueueAction,
  QueueMessage,
  ServerQueue,
  ServerQueueOptions,
} from './server_queue.js';
export {createStragglerDetector} from './stragglers.js';
export type {
  StragglerDetector,
  StragglerDetectorOptions,
} from './stragglers.js';
export {decodeTicket, encodeTicket} from './ticket.js';
export type {Ticket} from './ticket.js';
export {TicketState, createTicketTable} from './ticket_table.js';
export type {
  TicketDecision,
  TicketResult,
  TicketTable,
} from './ticket_table.js';
export {createTokenBucket, splitRate} from './token_bucket.js';
export type {TokenBucket, TokenBucketOptions} from './token_bucket.js';
