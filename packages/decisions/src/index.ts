/** Pure decisions: they take state, a message and the time. */
export {createAttemptProgress, resolveOutcome} from './attempt.js';
export type {AttemptProgress} from './attempt.js';
export {computeRelativeLoad, placeRequest} from './placement.js';
export type {PlacementCandidate} from './placement.js';
export {createServerQueue} from './server_queue.js';
export type {
  QueueAction,
  QueueMessage,
  QueuedRequest,
  ServerQueue,
  ServerQueueOptions,
} from './server_queue.js';
export {decodeTicket, encodeTicket} from './ticket.js';
export type {Ticket} from './ticket.js';
export {TicketState, createTicketTable} from './ticket_table.js';
export type {
  TicketDecision,
  TicketResult,
  TicketTable,
} from './ticket_table.js';
export {createTokenBucket} from './token_bucket.js';
export type {TokenBucket, TokenBucketOptions} from './token_bucket.js';
