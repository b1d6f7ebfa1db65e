/** Ranks requests by the priorities of their customers and routes. */
import type {Customer, Route, ServiceConfiguration} from '../model.js';

/** Place of a request in the order of service. */
export interface RequestUrgency {
  /** Urgency that backend servers receive; 0 is the most urgent, 9 the least. */
  level: number;
  /** Position among all ranks of the configuration: 0 is the first, 1 the last. */
  position: number;
}

/** Parts of a configuration from which requests are ranked. */
export type RankedConfiguration = Pick<
  ServiceConfiguration,
  'routes' | 'customersByKey'
>;

/** Ranks of one configuration. */
export interface UrgencyRanks {
  rank(route: Route, customer: Customer | undefined): RequestUrgency;
}

const LEAST_URGENT_LEVEL = 9;
/** Priority from which a request is in the last position. */
const LAST_PRIORITY = 2;

const ranksByConfiguration = new WeakMap<RankedConfiguration, UrgencyRanks>();

function createUrgencyRanks(): UrgencyRanks {
  return {
    rank: (route, customer) => {
      const priority = Math.max(0, customer?.priority ?? route.priority);
      return {
        level: Math.min(LEAST_URGENT_LEVEL, priority),
        position: Math.min(1, Math.floor(priority) / LAST_PRIORITY),
      };
    },
  };
}

/** Returns the ranks of a configuration, built on the first call. */
export function getUrgencyRanks(
  configuration: RankedConfiguration,
): UrgencyRanks {
  let ranks = ranksByConfiguration.get(configuration);
  if (!ranks) {
    ranks = createUrgencyRanks();
    ranksByConfiguration.set(configuration, ranks);
  }
  return ranks;
}
