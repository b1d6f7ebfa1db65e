/**
 * What an instance keeps after the store was restored from an older copy: evacuations
 * and leaving servers that the copy lacks, until they are written again.
 */
import type {BackendServer} from '../model.js';

export interface RestoredStore {
  /** Starts the grace period; `evacuated` lists the data centres evacuated before. */
  begin(evacuated: Iterable<string>, now: number): void;
  /** Whether an evacuation that the store does not list is kept. */
  isEvacuationKept(dataCentre: string, now: number): boolean;
  /** Records that the store lists the evacuation, or reports its end. */
  confirmEvacuation(dataCentre: string): void;
  /**
   * Whether an evacuation was not written again in time, as far as this instance knows.
   * Another one may have read it, so that only a full read tells.
   */
  isFullReadDue(now: number): boolean;
  /** Records a full read, after which the store's list of evacuations counts. */
  recordFullRead(now: number): void;
  /**
   * Returns the entry to store: a server that was leaving before the restore keeps
   * leaving for the rest of its life, whatever the copy says.
   */
  mergeServer<Entry extends BackendServer>(
    next: Entry,
    previous: BackendServer | undefined,
    now: number,
  ): Entry;
}

/**
 * The operator and the servers write their state again within this time. The end of an
 * evacuation that the store has lost takes effect after it.
 */
const REWRITE_GRACE_MS = 10_000;

export function createRestoredStore(): RestoredStore {
  let graceEndsAt = -Infinity;
  const unconfirmed = new Set<string>();

  return {
    begin: (evacuated, now) => {
      graceEndsAt = now + REWRITE_GRACE_MS;
      for (const dataCentre of evacuated) {
        unconfirmed.add(dataCentre);
      }
    },
    isEvacuationKept: (dataCentre, now) =>
      now < graceEndsAt && unconfirmed.has(dataCentre),
    confirmEvacuation: dataCentre => {
      unconfirmed.delete(dataCentre);
    },
    isFullReadDue: now => now >= graceEndsAt && unconfirmed.size > 0,
    recordFullRead: now => {
      if (now >= graceEndsAt) {
        unconfirmed.clear();
      }
    },
    mergeServer: (next, previous, now) =>
      now < graceEndsAt &&
      previous?.isDraining &&
      previous.startedAt === next.startedAt
        ? {...next, isDraining: true}
        : next,
  };
}
