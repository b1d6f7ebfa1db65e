/** Which instances read the store, and how often; the others follow them. */
import {rankByRendezvous} from '@buckthornbeam/shared';

/** Options of {@link isStoreReader}. */
export interface StoreReaderOptions {
  selfId: string;
  /** Instances that are alive, with this one. */
  instanceIds: readonly string[];
  /** How many of them read. */
  readers: number;
}

/** Pauses between an answer of the store and the next watch, in milliseconds. */
export interface ReadPauses {
  /** Of a reader that nobody follows. */
  pauseMs: number;
  /** Of a reader that others follow. */
  sharedPauseMs: number;
  /** Of an instance that follows the readers. */
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

/** Computes how long an instance leaves the reading to others. */
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
