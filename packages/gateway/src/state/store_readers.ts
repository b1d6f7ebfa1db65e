/** Chooses the instances that read the store; the others follow them. */
import {rankByRendezvous} from '@buckthornbeam/shared';

/** Options of {@link isStoreReader}. */
export interface StoreReaderOptions {
  selfId: string;
  /** Instances that are alive, with this one. */
  instanceIds: readonly string[];
  /** How many of them read. */
  readers: number;
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
