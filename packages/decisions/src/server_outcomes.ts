/**
 * Passive health checks: tracks the outcomes of the requests sent to each
 * backend server, since a server can pass its health check while some of its
 * requests fail.
 */

/** Outcome of a request to a server. */
export const ServerOutcome = {
  ANSWERED: 'answered',
  /** Refused or not answered in time. */
  FAILED: 'failed',
  /** Answered with an error of the server, broken off or malformed. */
  FAULTY: 'faulty',
  /** No connection could be established. */
  UNREACHABLE: 'unreachable',
} as const;
export type ServerOutcome = (typeof ServerOutcome)[keyof typeof ServerOutcome];

/**
 * Outcomes by server, as observed by one instance; times are in milliseconds.
 */
export interface ServerOutcomes {
  record(serverId: string, outcome: ServerOutcome, now: number): void;
  /** Computes the recent ratio of failed requests, from 0 to 1. */
  computeFailureRate(serverId: string, now: number): number;
  /** Whether the server is in backoff after a failed connection. */
  isUnreachable(serverId: string, now: number): boolean;
  /** Removes the state of servers that are not listed. */
  retain(serverIds: ReadonlySet<string>): void;
}

interface ServerRecord {
  /** Failed requests, with exponential decay. */
  failures: number;
  /** All requests, with exponential decay. */
  total: number;
  updatedAt: number;
  backoffUntil: number;
  /** Consecutive failed connections. */
  connectFailures: number;
}

/**
 * Half-life of an outcome: covers several requests, but is shorter than an
 * outage.
 */
const HALF_LIFE_MS = 2000;
/** Successes added to the total, so that a single failure has little weight. */
const PRIOR_SUCCESSES = 2;
/** Backoff after a failed connection; doubles with each consecutive failure. */
const INITIAL_BACKOFF_MS = 250;
/**
 * Upper bound of the backoff; a recovered server is used again within a second.
 */
const MAXIMUM_BACKOFF_MS = 1000;

export function createServerOutcomes(): ServerOutcomes {
  const records = new Map<string, ServerRecord>();

  function updateCounts(record: ServerRecord, now: number): void {
    const decay = 0.5 ** (Math.max(0, now - record.updatedAt) / HALF_LIFE_MS);
    record.failures *= decay;
    record.total *= decay;
    record.updatedAt = now;
  }

  function getRecord(serverId: string, now: number): ServerRecord {
    let record = records.get(serverId);
    if (!record) {
      record = {
        failures: 0,
        total: 0,
        updatedAt: now,
        backoffUntil: 0,
        connectFailures: 0,
      };
      records.set(serverId, record);
    }
    return record;
  }

  function applyBackoff(record: ServerRecord, now: number): void {
    const backoffMs = INITIAL_BACKOFF_MS * 2 ** record.connectFailures;
    record.backoffUntil = now + Math.min(MAXIMUM_BACKOFF_MS, backoffMs);
    record.connectFailures += 1;
  }

  return {
    record: (serverId, outcome, now) => {
      const record = getRecord(serverId, now);
      updateCounts(record, now);
      record.total += 1;
      if (outcome === ServerOutcome.ANSWERED) {
        record.connectFailures = 0;
        record.backoffUntil = 0;
        return;
      }
      record.failures += 1;
      if (outcome === ServerOutcome.UNREACHABLE) {
        applyBackoff(record, now);
      }
    },
    computeFailureRate: (serverId, now) => {
      const record = records.get(serverId);
      if (!record) {
        return 0;
      }
      updateCounts(record, now);
      return record.failures / (record.total + PRIOR_SUCCESSES);
    },
    isUnreachable: (serverId, now) =>
      (records.get(serverId)?.backoffUntil ?? 0) > now,
    retain: serverIds => {
      for (const serverId of records.keys()) {
        if (!serverIds.has(serverId)) {
          records.delete(serverId);
        }
      }
    },
  };
}
