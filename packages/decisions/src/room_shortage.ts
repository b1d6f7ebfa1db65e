/**
 * Shortages of capacity: at which positions in the order of urgency the instances have
 * refused requests of a service or let them wait. Less urgent requests of the service
 * are held back while a shortage is fresh.
 */
import {hashToUint32} from '@buckthornbeam/shared';

/** A shortage as instances pass it on. */
export interface ShortageNews {
  /** Hash of the service's name. */
  serviceHash: number;
  /** Position in the order of urgency: 0 is the first, 1 the last. */
  urgencyPosition: number;
  /** Time since a request was refused or waited, in milliseconds. */
  ageMs: number;
  /** Number of times that it was passed on. */
  hops: number;
}

/** All times are of the local clock, in milliseconds. */
export interface RoomShortages {
  /** Records that a request of this instance was refused or has to wait. */
  record(serviceName: string, urgencyPosition: number, now: number): void;
  /** Replaces what the instance has sent before; it sends no news when a shortage ends. */
  acceptNews(
    instanceId: string,
    news: readonly ShortageNews[],
    now: number,
  ): void;
  /** Lists the fresh shortages that were passed on at most so many times. */
  listNews(now: number, maximumHops?: number): ShortageNews[];
  /** Finds the most urgent position with a fresh shortage. */
  findMostUrgent(serviceName: string, now: number): number | undefined;
  /** Whether a request is less urgent than a fresh shortage of the service. */
  isHeldBack(
    serviceName: string,
    urgencyPosition: number,
    now: number,
  ): boolean;
  /** Whether a request of the service was refused or had to wait in the last second. */
  isScarce(serviceName: string, now: number): boolean;
}

/** Lost announcements of an end must not hold requests back for longer. */
export const SHORTAGE_EXPIRY_MS = 1000;
/**
 * Age from which a shortage of this instance is no longer announced and holds nothing
 * back. Requests that wait are recorded again every few milliseconds; two rounds of
 * gossip are left for one that was refused.
 */
const OWN_FRESH_MS = 500;
/** Positions of one service in a message; the others are less urgent. */
const POSITIONS_PER_SERVICE = 2;
/** Covers the rounding of positions in messages; ranks are further apart. */
const POSITION_TOLERANCE = 1e-4;

interface Shortage extends Omit<ShortageNews, 'ageMs'> {
  recordedAt: number;
}

export function createRoomShortages(): RoomShortages {
  /** Shortages of this instance by service and position. */
  const own = new Map<string, Shortage>();
  const received = new Map<string, Shortage[]>();

  function expire(now: number): void {
    const isExpired = ({recordedAt}: Shortage) =>
      now - recordedAt >= SHORTAGE_EXPIRY_MS;
    for (const [key, shortage] of own) {
      if (isExpired(shortage)) {
        own.delete(key);
      }
    }
    for (const [instanceId, shortages] of received) {
      const rest = shortages.filter(shortage => !isExpired(shortage));
      if (rest.length === 0) {
        received.delete(instanceId);
      } else if (rest.length < shortages.length) {
        received.set(instanceId, rest);
      }
    }
  }

  function listFresh(now: number): Shortage[] {
    if (own.size === 0 && received.size === 0) {
      return [];
    }
    expire(now);
    return [
      ...[...own.values()].filter(
        ({recordedAt}) => now - recordedAt < OWN_FRESH_MS,
      ),
      ...[...received.values()].flat(),
    ];
  }

  function findMostUrgent(
    serviceName: string,
    now: number,
  ): number | undefined {
    const serviceHash = hashToUint32(serviceName);
    const positions = listFresh(now)
      .filter(shortage => shortage.serviceHash === serviceHash)
      .map(({urgencyPosition}) => urgencyPosition);
    return positions.length > 0 ? Math.min(...positions) : undefined;
  }

  /** Lists the most urgent positions of each service, with the latest time of each. */
  function selectMostUrgent(shortages: readonly Shortage[]): Shortage[] {
    const sorted = [...shortages].sort(
      (a, b) =>
        a.urgencyPosition - b.urgencyPosition || b.recordedAt - a.recordedAt,
    );
    const selected = new Map<number, Shortage[]>();
    for (const shortage of sorted) {
      const chosen = selected.get(shortage.serviceHash) ?? [];
      const lastPosition = chosen.at(-1)?.urgencyPosition ?? -Infinity;
      if (
        chosen.length < POSITIONS_PER_SERVICE &&
        shortage.urgencyPosition > lastPosition + POSITION_TOLERANCE
      ) {
        selected.set(shortage.serviceHash, [...chosen, shortage]);
      }
    }
    return [...selected.values()].flat();
  }

  return {
    record: (serviceName, urgencyPosition, now) => {
      const serviceHash = hashToUint32(serviceName);
      own.set(`${serviceHash} ${urgencyPosition}`, {
        serviceHash,
        urgencyPosition,
        recordedAt: now,
        hops: 0,
      });
    },
    acceptNews: (instanceId, news, now) => {
      expire(now);
      const fresh = news.filter(({ageMs}) => ageMs < SHORTAGE_EXPIRY_MS);
      if (fresh.length === 0) {
        received.delete(instanceId);
        return;
      }
      received.set(
        instanceId,
        fresh.map(({ageMs, hops, ...shortage}) => ({
          ...shortage,
          recordedAt: now - ageMs,
          hops: hops + 1,
        })),
      );
    },
    listNews: (now, maximumHops = Infinity) =>
      selectMostUrgent(
        listFresh(now).filter(({hops}) => hops <= maximumHops),
      ).map(({recordedAt, ...shortage}) => ({
        ...shortage,
        ageMs: now - recordedAt,
      })),
    findMostUrgent,
    isHeldBack: (serviceName, urgencyPosition, now) => {
      const mostUrgent = findMostUrgent(serviceName, now);
      return (
        mostUrgent !== undefined &&
        urgencyPosition > mostUrgent + POSITION_TOLERANCE
      );
    },
    isScarce: (serviceName, now) => {
      expire(now);
      const serviceHash = hashToUint32(serviceName);
      return [...own.values(), ...[...received.values()].flat()].some(
        shortage => shortage.serviceHash === serviceHash,
      );
    },
  };
}
