/**
 * Reserves servers for short prompts. The prefill of a long prompt delays every
 * answer on its server, so short prompts get separate servers. The choice
 * depends only on the list of servers: instances with different pools would
 * send the same prompts to different servers, which then prefill them twice.
 */
import {rankByRendezvous} from '@buckthornbeam/shared';

/** Options of {@link chooseShortPool}. */
export interface ShortPoolOptions {
  serverIds: readonly string[];
  /** Ratio of the servers to reserve, from 0 to 1. */
  ratio: number;
}

/** With fewer servers, none is reserved. */
const MINIMUM_SERVERS = 4;
const POOL_KEY = 'short-prompts';

/** Chooses the servers of the pool; empty if there are too few servers. */
export function chooseShortPool({
  serverIds,
  ratio: part,
}: ShortPoolOptions): Set<string> {
  if (serverIds.length < MINIMUM_SERVERS || part <= 0) {
    return new Set();
  }
  const roundedSize = Math.max(1, Math.round(serverIds.length * part));
  const size = Math.min(roundedSize, serverIds.length - 1);
  return new Set(rankByRendezvous(POOL_KEY, serverIds).slice(0, size));
}
