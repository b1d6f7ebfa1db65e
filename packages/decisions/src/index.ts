/** Pure decisions: they take state, a message and the time. */
export {
  AttemptEvent,
  createAttemptRecord,
  isConnectFailure,
} from './attempt.js';
export type {AttemptRecord} from './attempt.js';
export {createKeyHome} from './key_home.js';
export type {KeyClaim, KeyHome, KeyHomeOptions} from './key_home.js';
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
export {
  computeBodyDigest,
  decodeTicket,
  encodeTicket,
  formatTicketId,
  validateTicketCall,
} from './ticket.js';
export type {Ticket, TicketCall} from './ticket.js';
export {TicketState, createTicketTable} from './ticket_table.js';
export type {
  IncarnationTickets,
  TicketDecision,
  TicketHandOver,
  TicketRecord,
  TicketResult,
  TicketTable,
  TicketTableOptions,
} from './ticket_table.js';
export {createTokenBucket} from './token_bucket.js';
export type {TokenBucket, TokenBucketOptions} from './token_bucket.js';
