/** Membership, ownership and leases of the entry instances. */
export type {ListedInstance} from './instance_list.js';
export {createMembership} from './membership.js';
export type {
  Heartbeat,
  Membership,
  MembershipOptions,
  Peer,
  ServerLoad,
} from './membership.js';
