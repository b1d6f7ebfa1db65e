/**
 * Judges backend servers by the outcomes of the requests sent to them: health
 * answers can be good while a part of the requests fails.
 */

/** How a request to a server ended. */
export const ServerOutcome = {
  ANSWERED: 'answered',
  /** Refused, broken, garbled or without an answer. */
  FAILED: 'failed',
  /** No connection could be made. */
  UNREACHABLE: 'unreachable',
} as const;
export type ServerOutcome = (typeof ServerOutcome)[keyof typeof ServerOutcome];

/** Outcomes of all servers, seen by one instance. */
export interface ServerOutcomes {
  record(serverId: string, outcome: ServerOutcome, now: number): void;
  /** Recent share of failures, from 0 to 1. */
  computeFailureRate(serverId: string, now: number): number;
  /** The server is to get no request for now, but for one trial at a time. */
  isUnreachable(serverId: string, now: number): boolean;
  /** Forgets servers that are not listed. */
  retain(serverIds: ReadonlySet<string>): void;
}

interface Record {
  /** Weighted counts that decay with time. */
  failures: number;
  total: number;
  updatedAt: number;
  unreachableUntil: number;
  /** Failures to connect in a row. */
  unreachableCount: number;
}

/** Half-life of an observation: long enough for some requests, short against a disturbance. */
const HALF_LIFE_MS = 2000;
/** Answers that a server counts as having given before its first outcome. */
const PRIOR_ANSWERS = 2;
/** First pause after a failed connection; doubles with each further one. */
const FIRST_PAUSE_MS = 250;
/** Longest pause, so that a returned server is found within a second. */
const LONGEST_PAUSE_MS = 1000;

/** Creates outcomes without observations. */
export function createServerOutcomes(): ServerOutcomes {
  const records = new Map<string, Record>();

  function updateCounts(record: Record, now: number): void {
    const factor = 0.5 ** (Math.max(0, now - record.updatedAt) / HALF_LIFE_MS);
    record.failures *= factor;
    record.total *= factor;
    record.updatedAt = now;
  }

  function getRecord(serverId: string, now: number): Record {
    let record = records.get(serverId);
    if (!record) {
      record = {
        failures: 0,
        total: 0,
        updatedAt: now,
        unreachableUntil: 0,
        unreachableCount: 0,
      };
      records.set(serverId, record);
    }
    return record;
  }

  function pauseServer(record: Record, now: number): void {
    const pause = FIRST_PAUSE_MS * 2 ** record.unreachableCount;
    record.unreachableUntil = now + Math.min(LONGEST_PAUSE_MS, pause);
    record.unreachableCount += 1;
  }

  return {
    record: (serverId, outcome, now) => {
      const record = getRecord(serverId, now);
      updateCounts(record, now);
      record.total += 1;
      if (outcome === ServerOutcome.ANSWERED) {
        record.unreachableCount = 0;
        record.unreachableUntil = 0;
        return;
      }
      record.failures += 1;
      if (outcome === ServerOutcome.UNREACHABLE) {
        pauseServer(record, now);
      }
    },
    computeFailureRate: (serverId, now) => {
      const record = records.get(serverId);
      if (!record) {
        return 0;
      }
      updateCounts(record, now);
      return record.failures / (record.total + PRIOR_ANSWERS);
    },
    isUnreachable: (serverId, now) =>
      (records.get(serverId)?.unreachableUntil ?? 0) > now,
    retain: serverIds => {
      for (const serverId of records.keys()) {
        if (!serverIds.has(serverId)) {
          records.delete(serverId);
        }
      }
    },
  };
}
