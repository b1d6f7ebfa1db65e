/**
 * Speed of model servers relative to the others of their service, learned from the pace
 * of their own answers. The pace between two events does not contain the time that a
 * request waited, so a long queue does not make a server look slow.
 */

/** Time for which output tokens were expected to be generated, and were generated. */
export interface AnswerPace {
  /** At the load of the server, if it had the usual speed; in milliseconds. */
  expectedMs: number;
  observedMs: number;
}

/** Paces that one instance has observed, by server. */
export interface ObservedPaces {
  record(serverId: string, pace: AnswerPace, now: number): void;
  /** Lists the recent sums, with exponential decay. */
  list(now: number): Array<AnswerPace & {serverId: string}>;
  retain(serverIds: ReadonlySet<string>): void;
}

interface PaceRecord extends AnswerPace {
  updatedAt: number;
}

/** Several answers of a server, and shorter than the time for which one is slow. */
const HALF_LIFE_MS = 3000;
/** Sums below it no longer tell the speed of a server. */
const MINIMUM_OBSERVED_MS = 20;
/** Observed time at which a speed is half way between the usual one and its estimate. */
const PRIOR_OBSERVED_MS = 150;
const MINIMUM_SPEED = 0.1;
const MAXIMUM_SPEED = 4;

export function createObservedPaces(): ObservedPaces {
  const records = new Map<string, PaceRecord>();

  function updateSums(record: PaceRecord, now: number): void {
    const ratio = 0.5 ** (Math.max(0, now - record.updatedAt) / HALF_LIFE_MS);
    record.expectedMs *= ratio;
    record.observedMs *= ratio;
    record.updatedAt = now;
  }

  return {
    record: (serverId, {expectedMs, observedMs}, now) => {
      const record = records.get(serverId) ?? {
        expectedMs: 0,
        observedMs: 0,
        updatedAt: now,
      };
      records.set(serverId, record);
      updateSums(record, now);
      record.expectedMs += expectedMs;
      record.observedMs += observedMs;
    },
    list: now => {
      const rows = [];
      for (const [serverId, record] of records) {
        updateSums(record, now);
        if (record.observedMs < MINIMUM_OBSERVED_MS) {
          records.delete(serverId);
        } else {
          const {expectedMs, observedMs} = record;
          rows.push({serverId, expectedMs, observedMs});
        }
      }
      return rows;
    },
    retain: serverIds => {
      for (const serverId of records.keys()) {
        if (!serverIds.has(serverId)) {
          records.delete(serverId);
        }
      }
    },
  };
}

/**
 * Computes the speed of each server relative to the mean of those with observations. A
 * server without observations has the usual speed, so it is never the fastest known.
 */
export function computeServerSpeeds(
  paces: ReadonlyMap<string, AnswerPace>,
): Map<string, number> {
  const ratios = [...paces]
    .filter(([, {observedMs}]) => observedMs > 0)
    .map(
      ([serverId, {expectedMs, observedMs}]) =>
        [serverId, expectedMs / observedMs, observedMs] as const,
    );
  const mean =
    ratios.reduce((sum, [, ratio]) => sum + ratio, 0) /
    Math.max(1, ratios.length);
  return new Map(
    ratios.map(([serverId, ratio, observedMs]) => {
      const confidence = observedMs / (observedMs + PRIOR_OBSERVED_MS);
      const speed = 1 + confidence * (ratio / mean - 1);
      return [
        serverId,
        Math.min(MAXIMUM_SPEED, Math.max(MINIMUM_SPEED, speed)),
      ];
    }),
  );
}
