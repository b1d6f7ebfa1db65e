/**
 * Sets servers apart for short prompts. Reading a long prompt stretches the
 * pauses of every answer on its server, so short ones get servers of their own.
 * The choice depends on the list of servers alone: instances that disagreed on
 * it would gather the same prompts on different servers and read them twice.
 */
import {rankByRendezvous} from '@buckthornbeam/shared';

/** Options of {@link chooseShortPool}. */
export interface ShortPoolOptions {
  serverIds: readonly string[];
  /** Part of the servers that is set apart, from 0 to 1. */
  part: number;
}

/** Fewer servers than this are not divided. */
const MINIMUM_SERVERS = 4;
const POOL_KEY = 'short-prompts';

/** Chooses the servers of the pool; empty where there are too few servers. */
export function chooseShortPool({
  serverIds,
  part,
}: ShortPoolOptions): Set<string> {
  if (serverIds.length < MINIMUM_SERVERS || part <= 0) {
    return new Set();
  }
  const wanted = Math.max(1, Math.round(serverIds.length * part));
  const size = Math.min(wanted, serverIds.length - 1);
  return new Set(rankByRendezvous(POOL_KEY, serverIds).slice(0, size));
}
