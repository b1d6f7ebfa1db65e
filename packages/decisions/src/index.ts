/**
 * Scheduling, placement and ticket logic without I/O: the time and the random
 * source are passed in.
 */
export {
  AttemptEvent,
  createAttemptRecord,
  isConnectFailure,
  mergeOutcomes,
} from './attempt.js';
export type {AttemptRecord} from './attempt.js';
export {ChunkVerdict, createChunkSequence} from './chunk_sequence.js';
export type {ChunkSequence, ChunkSequenceOptions} from './chunk_sequence.js';
export {createKeyRegistry} from './key_registry.js';
export type {
  KeyClaim,
  KeyRegistry,
  KeyRegistryOptions,
} from './key_registry.js';
export {createFairShare} from './fair_share.js';
export type {FairShare, FairShareOptions} from './fair_share.js';
export {createPeerLoad} from './peer_load.js';
export type {PeerLoad} from './peer_load.js';
export {createLeadTime} from './lead_time.js';
export type {LeadTime, LeadTimeOptions} from './lead_time.js';
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
export {
  PromptVerdict,
  createPromptQuarantine,
  isCovered,
} from './prompt_quarantine.js';
export type {
  PromptIdentity,
  PromptQuarantine,
  PromptQuarantineOptions,
  QuarantineEntry,
  QuarantineNews,
  QuarantineStatus,
} from './prompt_quarantine.js';
export type {CrashReport} from './crash_evidence.js';
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
export {
  computeBodyDigest,
  decodeTicket,
  encodeTicket,
  formatTicketId,
  validateTicketCall,
} from './ticket.js';
export type {Ticket, TicketCall} from './ticket.js';
export {createSlowServerDetector} from './slow_servers.js';
export type {
  SlowServerDetector,
  SlowServerDetectorOptions,
} from './slow_servers.js';
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
export {createTokenBucket, splitRate} from './token_bucket.js';
export type {TokenBucket, TokenBucketOptions} from './token_bucket.js';
export {computeColdRate, createColdLimit} from './cold_limit.js';
export type {ColdLimit, ColdLimitOptions, ColdTolerance} from './cold_limit.js';
export {estimateTokenMs, isShortPrompt} from './engine_costs.js';
export type {
  EngineCandidate,
  EngineRequest,
  EvenLoadOptions,
  PlacementOptions,
} from './engine_candidate.js';
export {placeGeneration} from './engine_placement.js';
export type {EnginePlacement} from './engine_placement.js';
export {
  LOCATIONS_PER_MESSAGE,
  createPrefixLocations,
  listPrefixes,
} from './prefix_locations.js';
export type {
  PrefixLocations,
  PrefixLocationsOptions,
  PromptPrefix,
  PromptBlock,
} from './prefix_locations.js';
export {addCustomerRows, createCustomerShares} from './customer_shares.js';
export type {
  CustomerRow,
  CustomerShares,
  CustomerSharesOptions,
  ShareRequest,
} from './customer_shares.js';
export {createRepeatBudget} from './repeat_budget.js';
export type {FleetRepeatBudget, RepeatBudget} from './repeat_budget.js';
export {
  createServerFaults,
  isFaulty,
  selectSoundServers,
} from './server_faults.js';
export type {FaultCounts, ServerFaults} from './server_faults.js';
export {computeServerSpeeds, createObservedPaces} from './server_speeds.js';
export type {AnswerPace, ObservedPaces} from './server_speeds.js';
export {ServerOutcome, createServerOutcomes} from './server_outcomes.js';
export type {ServerOutcomes} from './server_outcomes.js';
export type {ServerLife} from './server_life.js';
export {createServerStatements} from './server_statements.js';
export type {
  ServerStatements,
  ServerStatementsOptions,
} from './server_statements.js';
export {StatementKind} from './statement.js';
export type {
  SendContext,
  ServerStatement,
  StatedAnswer,
  StatementSharers,
} from './statement.js';
export {StatementChangeType, StatementEnd} from './statement_change.js';
export type {StatementChange} from './statement_change.js';
export {LimitStatementType} from './stated_limit.js';
export type {LimitNews, LimitStatement} from './stated_limit.js';
export {chooseShortPool} from './short_pool.js';
export type {ShortPoolOptions} from './short_pool.js';
export {canEndBeforeStop, createLongestDuration} from './stop_admission.js';
export type {LongestDuration, StopAdmission} from './stop_admission.js';
export {
  chooseByShare,
  computeFill,
  createLoadSpread,
  estimateEndedRatio,
  estimateSentRatio,
} from './even_load.js';
export type {
  FillTarget,
  LoadSpread,
  SpreadChoice,
  SpreadPlace,
} from './even_load.js';
export {estimateUnseenTokens} from './unseen_load.js';
export type {UnseenLoadOptions} from './unseen_load.js';
export {createUpdateQueue} from './update_queue.js';
export type {UpdateQueue, UpdateQueueOptions} from './update_queue.js';
export {SHORTAGE_EXPIRY_MS, createRoomShortages} from './room_shortage.js';
export type {RoomShortages, ShortageNews} from './room_shortage.js';
export {createRankHeadroom} from './rank_headroom.js';
export type {RankHeadroom} from './rank_headroom.js';
export {createRankReserve} from './rank_reserve.js';
export type {RankReserve, RankReserveOptions} from './rank_reserve.js';
export {createCapacityReturns} from './capacity_return.js';
export type {
  CapacityReturnOptions,
  CapacityReturns,
  RefusedRequest,
} from './capacity_return.js';
