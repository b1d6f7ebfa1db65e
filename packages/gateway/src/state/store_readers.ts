/**
 * Selects the instances that read the store often, the readers. The followers,
 * all other instances, read it rarely and otherwise get the state from peers.
 */
import {rankByRendezvous} from '@buckthornbeam/shared';

/** Options of {@link isStoreReader}. */
export interface StoreReaderOptions {
  selfId: string;
  /** Live instances, including this one. */
  instanceIds: readonly string[];
  /** Number of instances that read the store. */
  readers: number;
}

/** Pauses between an answer of the store and the next watch, in milliseconds. */
export interface ReadPauses {
  /** For readers in a fleet without followers. */
  pauseMs: number;
  /** For readers in a fleet with followers. */
  sharedPauseMs: number;
  /** For followers. */
  followerPauseMs: number;
}

const READERS_KEY = 'store-readers';

/** Whether this instance is one of the readers. */
export function isStoreReader(options: StoreReaderOptions): boolean {
  const {selfId, instanceIds, readers} = options;
  if (instanceIds.length <= readers) {
    return true;
  }
  return rankByRendezvous(READERS_KEY, instanceIds)
    .slice(0, readers)
    .includes(selfId);
}

/** Computes the pause of this instance before its next watch, in milliseconds. */
export function computeReadPause(
  options: StoreReaderOptions,
  {pauseMs, sharedPauseMs, followerPauseMs}: ReadPauses,
): number {
  if (!isStoreReader(options)) {
    return followerPauseMs;
  }
  const hasFollowers = options.instanceIds.length > options.readers;
  return hasFollowers ? sharedPauseMs : pauseMs;
}
