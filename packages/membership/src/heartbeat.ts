/** Heartbeats: what two members tell each other in every exchange. */
import type {FileSetVersion} from '@buckthornbeam/config';
import type {LoanTerms} from './lender.js';
import type {ServerLoad} from './server_load.js';

/** What the sender knows of the receiver's last heartbeat. */
export interface HeartbeatReceipt {
  /** Incarnation of the receiver that the receipt is for. */
  incarnation: string;
  /** Sequence of the last heartbeat from the receiver. */
  sequence: number;
  /** Version of the loan that the last heartbeat carried. */
  loanVersion: number;
}

/** A heartbeat to one peer. */
export interface Heartbeat {
  instanceId: string;
  incarnation: string;
  /** Identity of the sender in ownership, see {@link hashMember}. */
  memberHash: number;
  /** Grows with every heartbeat of an incarnation, to any peer. */
  sequence: number;
  receipt: HeartbeatReceipt | undefined;
  ready: boolean;
  leaving: boolean;
  fileSet: FileSetVersion | undefined;
  /** Hash of the view that the sender computes ownership from. */
  viewHash: string;
  /** Age of the newest confirmed reading of the instance list, in milliseconds. */
  readingAgeMs: number | undefined;
  loan: LoanTerms;
  /** Loads of the servers that the sender owns. */
  loads: ServerLoad[];
}
