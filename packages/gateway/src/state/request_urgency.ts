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

/** Position where all requests have the same rank. */
const ONLY_POSITION = 0.5;
/** Levels that backend servers distinguish. */
const LEVEL_COUNT = 10;

/**
 * The customer's priority is compared first; requests of customers without one
 * are compared by the priority of the route alone.
 */
type PriorityPair = readonly [first: number, second: number];

const ranksByConfiguration = new WeakMap<RankedConfiguration, UrgencyRanks>();

function buildPair(
  route: Route,
  customerPriority: number | undefined,
): PriorityPair {
  return [customerPriority ?? route.priority, route.priority];
}

/** Lists the priorities of the customers that may use a route. */
function listCustomerPriorities(
  route: Route,
  {customersByKey}: RankedConfiguration,
): Array<number | undefined> {
  return route.isPublic || !customersByKey
    ? [undefined]
    : [...customersByKey.values()].map(({priority}) => priority);
}

/** Lists the different pairs of a configuration, the most urgent first. */
function listPairs(configuration: RankedConfiguration): PriorityPair[] {
  const pairs = new Map<string, PriorityPair>();
  for (const route of configuration.routes) {
    for (const priority of listCustomerPriorities(route, configuration)) {
      const pair = buildPair(route, priority);
      pairs.set(pair.join(), pair);
    }
  }
  return [...pairs.values()].sort((a, b) => a[0] - b[0] || a[1] - b[1]);
}

function createUrgencyRanks(configuration: RankedConfiguration): UrgencyRanks {
  const pairs = listPairs(configuration);
  const last = pairs.length - 1;
  const urgencies = new Map(
    pairs.map((pair, index): [string, RequestUrgency] => [
      pair.join(),
      {
        // With more ranks than levels, neighbouring ranks share a level.
        level:
          pairs.length <= LEVEL_COUNT
            ? index
            : Math.floor((index * LEVEL_COUNT) / pairs.length),
        position: last === 0 ? ONLY_POSITION : index / last,
      },
    ]),
  );
  return {
    rank: (route, customer) =>
      urgencies.get(buildPair(route, customer?.priority).join())!,
  };
}

/** Returns the ranks of a configuration, built on the first call. */
export function getUrgencyRanks(
  configuration: RankedConfiguration,
): UrgencyRanks {
  let ranks = ranksByConfiguration.get(configuration);
  if (!ranks) {
    ranks = createUrgencyRanks(configuration);
    ranksByConfiguration.set(configuration, ranks);
  }
  return ranks;
}
