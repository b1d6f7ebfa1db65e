/** What one answer of a backend server states, and what it is applied with. */
import type {LimitStatement} from './stated_limit.js';

/** What one answer states about the server that wrote it. */
export interface ServerStatement {
  isLeaving: boolean;
  /** Absent if the answer states no limit. */
  limit?: LimitStatement;
  /**
   * Time for which the server asks to be sent nothing, in milliseconds. Absent if the
   * answer states none.
   */
  pauseMs?: number;
}

/**
 * The answer with a statement. The server wrote its head between the two times;
 * answers to overlapping requests may arrive in any order.
 */
export interface StatedAnswer {
  requestId: string;
  /** Time at which the request was sent, in milliseconds. */
  sentAt: number;
  /** Time at which the head of the answer was read, in milliseconds. */
  headAt: number;
}

/** What is known of the sender when a request is about to be sent. */
export interface SendContext {
  /** Ids of the instances that may send requests, including this one. */
  instances: readonly string[];
}

/** The instances that divide what a server states for all of them. */
export interface StatementSharers extends SendContext {
  selfId: string;
}

export const StatementKind = {
  LEAVING: 'leaving',
  LIMIT: 'limit',
  PAUSE: 'pause',
} as const;
export type StatementKind = (typeof StatementKind)[keyof typeof StatementKind];
