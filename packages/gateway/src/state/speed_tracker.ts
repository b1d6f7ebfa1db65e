/** Speeds of model servers, learned from the answers that all instances get. */
import {
  computeServerSpeeds,
  createObservedPaces,
} from '@buckthornbeam/decisions';
import type {AnswerPace} from '@buckthornbeam/decisions';
import {createCachedHash} from '@buckthornbeam/shared';
import {createFleetSums} from '../peers/fleet_sums.js';
import type {FleetSumExchange, SumRow} from '../peers/fleet_sums.js';
import {createAnswerPaceMeter} from './answer_pace.js';

/** Progress of one answer of a model server. */
export interface AnswerProgress {
  /** Records events that arrived together. */
  recordEvents(count: number, now: number): void;
  end(now: number): void;
}

export interface SpeedTracker {
  /** What instances send each other. */
  readonly exchange: FleetSumExchange;
  /** Begins an answer whose events are expected after `eventMs` each. */
  beginAnswer(serverId: string, eventMs: number): AnswerProgress;
  /** Computes the speeds again if they are due. */
  update(now: number): void;
  /** Speed relative to the servers of its service; 1 if unknown. */
  getSpeed(serverId: string): number;
  retain(serverIds: ReadonlySet<string>): void;
}

/** Options of {@link createSpeedTracker}. */
export interface SpeedTrackerOptions {
  /** Lists the ids of the model servers, by service. */
  listServices: () => ReadonlyArray<readonly string[]>;
}

/** Numbers in a row of the exchange: expected and observed time. */
export const SPEED_VALUES = 2;
/** Unit of the times in a row: the sums of a busy server still fit. */
const ROW_UNIT_MS = 100;
/** Speeds change slowly, so rows are sent less often than loads. */
const SEND_INTERVAL_MS = 1000;
/** Rows are used until several later ones are lost. */
const LIFETIME_MS = 4500;
const UPDATE_INTERVAL_MS = 250;
/** Cached hashes of server ids; a fleet has fewer servers. */
const MAXIMUM_HASHES = 5000;

/** Sends the rows of an exchange once in an interval, and ignores messages without. */
function createTimedExchange(exchange: FleetSumExchange): FleetSumExchange {
  const sentAt = new Map<keyof FleetSumExchange, number>();

  function buildIfDue(
    kind: 'buildReport' | 'buildGroupSum' | 'buildTotals',
    now: number,
  ): SumRow[] {
    if (now - (sentAt.get(kind) ?? -Infinity) < SEND_INTERVAL_MS) {
      return [];
    }
    sentAt.set(kind, now);
    return exchange[kind](now);
  }

  return {
    ...exchange,
    buildReport: now => buildIfDue('buildReport', now),
    buildGroupSum: now => buildIfDue('buildGroupSum', now),
    buildTotals: now => buildIfDue('buildTotals', now),
    receiveReport: (id, rows, now) =>
      rows.length > 0 && exchange.receiveReport(id, rows, now),
    receiveGroupSum: (key, rows, now) =>
      rows.length > 0 && exchange.receiveGroupSum(key, rows, now),
    receiveTotals: (rows, now) =>
      rows.length > 0 && exchange.receiveTotals(rows, now),
  };
}

export function createSpeedTracker({
  listServices,
}: SpeedTrackerOptions): SpeedTracker {
  const paces = createObservedPaces();
  const hashServer = createCachedHash(MAXIMUM_HASHES);
  const sums = createFleetSums({
    listOwn: now =>
      paces
        .list(now)
        .map(
          ({serverId, expectedMs, observedMs}) =>
            [
              hashServer(serverId),
              observedMs / ROW_UNIT_MS,
              expectedMs / ROW_UNIT_MS,
            ] as const,
        ),
    lifetimeMs: LIFETIME_MS,
  });
  let speeds = new Map<string, number>();
  let updatedAt = -Infinity;

  function findPaces(
    serverIds: readonly string[],
    now: number,
  ): Map<string, AnswerPace> {
    const found = new Map<string, AnswerPace>();
    for (const serverId of serverIds) {
      const row = sums.find(hashServer(serverId), now);
      if (row) {
        const [observed = 0, expected = 0] = row;
        found.set(serverId, {
          expectedMs: expected * ROW_UNIT_MS,
          observedMs: observed * ROW_UNIT_MS,
        });
      }
    }
    return found;
  }

  return {
    exchange: createTimedExchange(sums),
    beginAnswer: (serverId, eventMs) => {
      const meter = createAnswerPaceMeter();
      return {
        recordEvents: (count, now) => meter.recordEvents(count, now),
        end: now => {
          const pace = meter.measure();
          if (pace && eventMs > 0) {
            const {events, durationMs: observedMs} = pace;
            const expectedMs = events * eventMs;
            paces.record(serverId, {expectedMs, observedMs}, now);
          }
        },
      };
    },
    update: now => {
      if (now - updatedAt >= UPDATE_INTERVAL_MS) {
        updatedAt = now;
        speeds = new Map(
          listServices().flatMap(serverIds => [
            ...computeServerSpeeds(findPaces(serverIds, now)),
          ]),
        );
      }
    },
    getSpeed: serverId => speeds.get(serverId) ?? 1,
    retain: serverIds => paces.retain(serverIds),
  };
}
