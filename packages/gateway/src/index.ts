/** Router instance that forwards requests directly to backend servers. */
export {LimitStatementType} from '@buckthornbeam/decisions';
export type {LimitStatement} from '@buckthornbeam/decisions';
export {createGateway} from './gateway.js';
export type {Gateway, GatewayOptions} from './gateway.js';
export {PARSER_MAXIMUM_HEADER_BYTES} from './http/caller_limits.js';
export {RouteKind} from './model.js';
export type {
  BackendServer,
  CallerLimits,
  Customer,
  EngineProperties,
  GenerationMetadata,
  PromptBlock,
  RequestMetadata,
  Route,
  RouteTarget,
  Service,
  ServiceConfiguration,
} from './model.js';
export type {
  AnswerMetadata,
  CallerDialect,
  ForwardingFields,
  RawHeaders,
  ServerDialect,
  StoreChange,
  StoreReader,
  StoreSnapshot,
} from './ports.js';
export {GOSSIP_ROUND_MS, createGossipNode} from './peers/gossip_node.js';
export type {GossipNode, GossipNodeOptions} from './peers/gossip_node.js';
export type {GossipDatagram} from './peers/message_builder.js';
export {selectEndToEnd} from './relay/caller_answer.js';
export {parseDecimals, readPauseMs} from './relay/pause_request.js';
export {getUrgencyRanks} from './state/request_urgency.js';
export type {RequestUrgency, UrgencyRanks} from './state/request_urgency.js';
export type {TrackedServer} from './state/server_entries.js';
export {getRouteTable} from './state/route_table.js';
export type {RouteTable} from './state/route_table.js';
export {createServerActivity} from './state/server_activity.js';
export {createServerLoads} from './state/server_loads.js';
export type {ServerLoads} from './state/server_loads.js';
export {Spreading} from './state/load_spreading.js';
export {createServerSelection} from './state/server_selection.js';
export type {
  SelectedServer,
  ServerSelection,
} from './state/server_selection.js';
export {parseGatewaySettings} from './settings.js';
export type {GatewaySettings} from './settings.js';
export {createStatementTracker} from './state/statement_tracker.js';
export type {StatementTracker} from './state/statement_tracker.js';
export {
  assertStoreEpoch,
  buildStorePosition,
  getStoreEpoch,
  getStoreRevision,
} from './state/store_position.js';
export {createSettingsFile} from './settings_file.js';
export type {SettingsFile, SettingsFileOptions} from './settings_file.js';
export {startGateway} from './start_gateway.js';
export type {StartGatewayOptions} from './start_gateway.js';
export {handleStopSignal} from './stop/stop_signal.js';
export type {StopSignal, StopSignalOptions} from './stop/stop_signal.js';
