/** Membership, server ownership, quota leases and gossip of instances. */
export {MAXIMUM_CELL_SIZE} from './cells.js';
export type {Cell, CellMember} from './cells.js';
export type {Heartbeat, HeartbeatReceipt} from './heartbeat.js';
export type {ListedInstance} from './instance_list.js';
export type {LeaseTerms} from './quota_granter.js';
export {createMembership} from './membership.js';
export type {Membership, MembershipOptions, SelfState} from './membership.js';
export {findOwnerHash, hashMember} from './ownership.js';
export type {Peer} from './peer_table.js';
export type {ServerLoad} from './server_load.js';
export {computeShareLimit} from './share_limit.js';
export {buildTopology, buildView} from './view.js';
export type {Topology, View} from './view.js';
export {
  computeStateHash,
  createGossipTable,
  isSameState,
} from './gossip_table.js';
export type {
  GossipMember,
  GossipRecord,
  GossipTable,
  GossipTableOptions,
  LivenessEntry,
  RelayedRecord,
} from './gossip_table.js';
export {
  countLoadSharers,
  getGroupKey,
  isFullMesh,
  listGroups,
  rankPublishers,
} from './report_groups.js';
export type {GroupMember} from './report_groups.js';
