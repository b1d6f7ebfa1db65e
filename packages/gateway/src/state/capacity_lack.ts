/** Describes the capacity that a request lacks, to decide whether a wait can help. */
import type {Service} from '../model.js';
import type {ServerAvailability} from './server_availability.js';
import type {TrackedServer} from './server_entries.js';

export const CapacityLack = {
  /** Shares of this instance, of connections or rates, are used up for now. */
  OWN: 'own',
  /** The backlog that all instances have put on the servers is too long. */
  SHARED: 'shared',
  /** Both, each at some servers. */
  MIXED: 'mixed',
  /** Only other instances may use the servers, which are cold. */
  ELSEWHERE: 'elsewhere',
} as const;
export type CapacityLack = (typeof CapacityLack)[keyof typeof CapacityLack];

/** The servers of one service as far as they concern a request. */
export interface ServiceServers {
  service: Service;
  listed: readonly TrackedServer[];
  /** Those that can accept it, apart from limits of rates. */
  acceptable: readonly TrackedServer[];
}

export interface LackContext {
  availability: Pick<
    ServerAvailability,
    'isCold' | 'isOutOfReach' | 'computeWait'
  >;
  instances: readonly string[];
  now: number;
}

/** Describes what a request lacks that got none of these servers. */
export function findCapacityLack(
  services: readonly ServiceServers[],
  {availability, instances, now}: LackContext,
): CapacityLack {
  const acceptable = services.flatMap(item =>
    item.acceptable.map(tracked => ({tracked, service: item.service})),
  );
  if (acceptable.length === 0) {
    const isElsewhere = services.some(({service, listed}) =>
      listed.some(tracked =>
        availability.isOutOfReach(tracked, service, instances, now),
      ),
    );
    return isElsewhere ? CapacityLack.ELSEWHERE : CapacityLack.OWN;
  }
  const shared = acceptable.filter(
    ({tracked, service}) =>
      !availability.isCold(tracked, service, now) &&
      availability.computeWait(tracked, instances, now) === 0,
  );
  if (shared.length === 0) {
    return CapacityLack.OWN;
  }
  return shared.length === acceptable.length
    ? CapacityLack.SHARED
    : CapacityLack.MIXED;
}
