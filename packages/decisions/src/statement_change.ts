/** Changes of what servers state, for logs and metrics. */
import type {ServerLife} from './server_life.js';
import type {StatementKind} from './statement.js';

export const StatementChangeType = {
  BEGUN: 'begun',
  CHANGED: 'changed',
  /** The share of this instance is another one; the value is that share. */
  SHARED: 'shared',
  ENDED: 'ended',
} as const;
export type StatementChangeType =
  (typeof StatementChangeType)[keyof typeof StatementChangeType];

/** Why a statement ended. */
export const StatementEnd = {
  /** The list has a later life under the same id. */
  NEW_LIFE: 'new_life',
  /** The server was not listed for the retention time. */
  FORGOTTEN: 'forgotten',
  /** A later answer no longer states it. */
  RETRACTED: 'retracted',
  /** The stated time is over. */
  EXPIRED: 'expired',
} as const;
export type StatementEnd = (typeof StatementEnd)[keyof typeof StatementEnd];

/** A change of what a server states, for logs and metrics. */
export interface StatementChange {
  kind: StatementKind;
  type: StatementChangeType;
  life: ServerLife;
  /** Stated value, or the share of it; the last one at the end. */
  value: number;
  /** Time since the statement began, in milliseconds. */
  heldMs: number;
  /** Request whose answer made the change; absent if the list or the time made it. */
  requestId?: string;
  /** Present at the end. */
  reason?: StatementEnd;
}
