/**
 * Decides when an instance reads the store. The age of the cluster state decides:
 * it is shared by gossip, so that a read of one instance postpones those of all
 * others. The first in rank reads when the interval is over, each further one a
 * step later. The number of reads therefore does not grow with the fleet.
 */

/** Options of {@link createReadSchedule}. */
export interface ReadScheduleOptions {
  /** Time between two reads of the fleet, in milliseconds. */
  intervalMs: number;
  /** Place of this instance in the list of seeds; undefined if it is none. */
  seedPlace: number | undefined;
  startedAt: number;
  /**
   * Whether the whole system starts for the first time: no caller waits for it, so
   * that there is time to wait for the seeds.
   */
  isFirstStart: boolean;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/** What an instance knows when it decides; times in local milliseconds. */
export interface ReadSituation {
  now: number;
  /** Whether there is a cluster state. */
  hasState: boolean;
  /** Age of the last confirmation of the cluster state by the store. */
  ageMs: number;
  /** Places among the live instances, see `findReaderPlaces`. */
  place: number;
  groupPlace: number;
  /** When a message of a peer was last received; -Infinity before the first. */
  peerHeardAt: number;
  /** Whether the state of a peer is being fetched. */
  isFetching: boolean;
}

export interface ReadSchedule {
  /** Computes the time until the next read is due, in milliseconds; 0 if it is. */
  computeDelay(situation: ReadSituation): number;
  recordSuccess(): void;
  recordFailure(now: number): void;
}

/** Part of the time for a change to apply that passes between two reads. */
const INTERVAL_RATIO = 0.3;
/** Longest interval; keys must be confirmed well within their revocation time. */
const MAXIMUM_INTERVAL_MS = 1200;
/** Lead of the first in rank: its result takes this long to reach the second. */
const FIRST_STEP_MS = 400;
const STEP_MS = 250;
/**
 * From this place on the steps are longer: if so many have failed, the store is
 * likely down for all.
 */
const LAST_EARLY_PLACE = 8;
const LATE_STEP_MS = 1000;
/**
 * Age at which the first of a group read although others are before them: the group
 * may be cut off from these, or without a publisher.
 */
const GROUP_DUE_MS = 2200;
const GROUP_STAND_INS = 2;
/** Without a message for this long, an instance may be cut off from all others. */
const SILENT_MS = 2000;
/** Age at which an instance reads that hears nobody, and the spread of it. */
const SILENT_DUE_MS = 1500;
const SILENT_SPREAD_MS = 500;
/** After a failure, others of a similar rank come first for a while. */
const DEMOTED_PLACES = 3;
const DEMOTION_MS = 3000;
const FIRST_RETRY_MS = 250;
const MAXIMUM_RETRY_MS = 2000;
/** Retry times are multiplied by 1 plus or minus half of this. */
const RETRY_SPREAD = 0.5;
/** Head start of each seed before the next one. */
const SEED_STEP_MS = 200;
/** Time that others wait for the state of a peer, and the spread of it. */
const FIRST_START_WAIT_MS = 1000;
const FIRST_START_SPREAD_MS = 1000;
/** The same after a restart, when callers wait and the peers may have restarted too. */
const RESTART_WAIT_MS = 200;
const RESTART_SPREAD_MS = 300;
const FETCH_POLL_MS = 50;

/**
 * Computes the interval of the reads of a fleet in which changes must apply within
 * `applyMs`; the rest of that time is for stand-ins and for the way to all instances.
 */
export function computeReadInterval(applyMs: number): number {
  return Math.min(MAXIMUM_INTERVAL_MS, applyMs * INTERVAL_RATIO);
}

/** Computes the lead of those before a place, in milliseconds. */
function computeLead(place: number): number {
  if (place === 0) {
    return 0;
  }
  const early = Math.min(place, LAST_EARLY_PLACE) - 1;
  const late = Math.max(0, place - LAST_EARLY_PLACE);
  return FIRST_STEP_MS + early * STEP_MS + late * LATE_STEP_MS;
}

export function createReadSchedule(options: ReadScheduleOptions): ReadSchedule {
  const {intervalMs, seedPlace, startedAt, isFirstStart, random} = options;
  const silentDueMs = SILENT_DUE_MS + random() * SILENT_SPREAD_MS;
  const startWaitMs = isFirstStart ? FIRST_START_WAIT_MS : RESTART_WAIT_MS;
  const startSpreadMs = isFirstStart
    ? FIRST_START_SPREAD_MS
    : RESTART_SPREAD_MS;
  const startDueAt =
    startedAt +
    (seedPlace === undefined
      ? startWaitMs + random() * startSpreadMs
      : seedPlace * SEED_STEP_MS);
  let failures = 0;
  let failedAt = -Infinity;
  let retryAt = -Infinity;

  function computeDueAge(situation: ReadSituation): number {
    const {now, groupPlace, peerHeardAt} = situation;
    const isDemoted = now - failedAt < DEMOTION_MS;
    const place = situation.place + (isDemoted ? DEMOTED_PLACES : 0);
    return Math.min(
      intervalMs + computeLead(place),
      groupPlace < GROUP_STAND_INS
        ? GROUP_DUE_MS + groupPlace * STEP_MS
        : Infinity,
      now - peerHeardAt > SILENT_MS ? silentDueMs : Infinity,
    );
  }

  /** Computes when an instance without a state reads the store itself. */
  function computeStartDueAt({place, peerHeardAt}: ReadSituation): number {
    // Peers that are known but have no state either are ranked like later on.
    return seedPlace === undefined && peerHeardAt > startedAt
      ? startedAt + startWaitMs + Math.min(startSpreadMs, computeLead(place))
      : startDueAt;
  }

  return {
    computeDelay: situation => {
      const {now, ageMs} = situation;
      if (situation.isFetching) {
        return FETCH_POLL_MS;
      }
      const delayMs = situation.hasState
        ? computeDueAge(situation) - ageMs
        : computeStartDueAt(situation) - now;
      return Math.max(0, delayMs, retryAt - now);
    },
    recordSuccess: () => {
      failures = 0;
      failedAt = -Infinity;
      retryAt = -Infinity;
    },
    recordFailure: now => {
      const backoffMs = Math.min(
        MAXIMUM_RETRY_MS,
        FIRST_RETRY_MS * 2 ** failures,
      );
      failures += 1;
      failedAt = now;
      retryAt = now + backoffMs * (1 + RETRY_SPREAD * (random() - 0.5));
    },
  };
}
