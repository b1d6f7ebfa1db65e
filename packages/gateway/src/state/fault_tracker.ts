/** Faults of backend servers, as seen by all instances together. */
import {createServerFaults, isFaulty} from '@buckthornbeam/decisions';
import {createCachedHash} from '@buckthornbeam/shared';
import type {Logger} from '@buckthornbeam/shared';
import {createFleetSums} from '../peers/fleet_sums.js';
import type {FleetSumExchange} from '../peers/fleet_sums.js';

export interface FaultTracker {
  /** What instances send each other. */
  readonly exchange: FleetSumExchange;
  /** Records an answer of a server, or its end before it was complete. */
  record(serverId: string, isFault: boolean, now: number): void;
  /** Whether the server fails much of the work of all instances. */
  isFaulty(serverId: string, now: number): boolean;
  /** Computes the ratio of faults, from 0 to 1. */
  computeFaultRate(serverId: string, now: number): number;
  countFaulty(): number;
  retain(serverIds: ReadonlySet<string>): void;
}

/** Numbers in a row of the exchange: faults and answers. */
export const FAULT_VALUES = 2;
/** Cached hashes of server ids; a fleet has fewer servers. */
const MAXIMUM_HASHES = 5000;
/** Sound answers added to the answers, so that a single fault has little weight. */
const PRIOR_ANSWERS = 2;

export function createFaultTracker({logger}: {logger: Logger}): FaultTracker {
  const faults = createServerFaults();
  const hashServer = createCachedHash(MAXIMUM_HASHES);
  const faultyIds = new Set<string>();
  const sums = createFleetSums({
    listOwn: now =>
      faults
        .list(now)
        .map(
          ({serverId, faults: count, answers}) =>
            [hashServer(serverId), count, answers] as const,
        ),
  });

  function getCounts(serverId: string, now: number) {
    const [count = 0, answers = 0] = sums.find(hashServer(serverId), now) ?? [];
    return {faults: count, answers};
  }

  function checkFaulty(serverId: string, now: number): boolean {
    const counts = getCounts(serverId, now);
    const isNow = isFaulty(counts);
    if (isNow !== faultyIds.has(serverId)) {
      logger.info(isNow ? 'server_faulty' : 'server_sound', {
        server: serverId,
        faults: Math.round(counts.faults),
        answers: Math.round(counts.answers),
      });
      if (isNow) {
        faultyIds.add(serverId);
      } else {
        faultyIds.delete(serverId);
      }
    }
    return isNow;
  }

  return {
    exchange: sums,
    record: (serverId, isFault, now) => faults.record(serverId, isFault, now),
    isFaulty: checkFaulty,
    computeFaultRate: (serverId, now) => {
      const counts = getCounts(serverId, now);
      return counts.faults / (counts.answers + PRIOR_ANSWERS);
    },
    countFaulty: () => faultyIds.size,
    retain: serverIds => {
      faults.retain(serverIds);
      for (const serverId of faultyIds) {
        if (!serverIds.has(serverId)) {
          faultyIds.delete(serverId);
        }
      }
    },
  };
}
