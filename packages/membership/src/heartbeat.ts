/** Heartbeats that two members exchange. */
import type {FileSetVersion} from '@buckthornbeam/config';
import type {LeaseTerms} from './quota_granter.js';
import type {ServerLoad} from './server_load.js';

/** Acknowledges the last heartbeat that the sender got from the receiver. */
export interface HeartbeatReceipt {
  /** Incarnation of the receiver that sent that heartbeat. */
  incarnation: string;
  sequence: number;
  /** Version of the lease terms in that heartbeat. */
  loanVersion: number;
}

/** A heartbeat to one peer; the response is the heartbeat of that peer. */
export interface Heartbeat {
  instanceId: string;
  incarnation: string;
  /** The sender's key in rendezvous hashing, see {@link hashMember}. */
  memberHash: number;
  /** Incremented for every heartbeat of an incarnation, to any peer. */
  sequence: number;
  receipt: HeartbeatReceipt | undefined;
  ready: boolean;
  leaving: boolean;
  fileSet: FileSetVersion | undefined;
  /** Hash of the view from which the sender computes ownership. */
  viewHash: string;
  /** Time since the instance list was last confirmed, in milliseconds. */
  listAgeMs: number | undefined;
  lease: LeaseTerms;
  /** Loads of the servers that the sender owns. */
  loads: ServerLoad[];
}
