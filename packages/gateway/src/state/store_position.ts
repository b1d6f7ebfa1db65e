/**
 * Positions in the history of the store. A store that is restored from an older copy
 * assigns revisions again; its epoch, which rises with each restore, orders them. A
 * position combines both in one number, so that later ones are greater.
 */

import {RouterError} from '@buckthornbeam/shared';

/** Revisions of one epoch; an epoch of up to 8,191 leaves a safe integer. */
const REVISIONS_PER_EPOCH = 2 ** 40;

/** @param epoch 0 for a store that does not state one */
export function buildStorePosition(epoch: number, revision: number): number {
  return epoch * REVISIONS_PER_EPOCH + revision;
}

export function getStoreEpoch(position: number): number {
  return Math.floor(position / REVISIONS_PER_EPOCH);
}

export function getStoreRevision(position: number): number {
  return position % REVISIONS_PER_EPOCH;
}

/**
 * @throws RouterError `platform_history_lost` if an older copy replaced the store in
 *   between, `platform_unavailable` if the answer is older than the state
 */
export function assertStoreEpoch(expected: number, actual: number): void {
  if (actual > expected) {
    throw new RouterError(
      'platform_history_lost',
      `the store was restored: epoch ${actual} after ${expected}`,
    );
  }
  if (actual < expected) {
    throw new RouterError(
      'platform_unavailable',
      `the store answered with epoch ${actual} after ${expected}`,
    );
  }
}
