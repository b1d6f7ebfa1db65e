/** Finds the route of a request and checks its API key. */
import {RouterError, toRouterError} from '@buckthornbeam/shared';
import type {Customer, RequestMetadata, Route} from '../model.js';
import type {ClusterState} from '../state/cluster_state.js';
import {getUrgencyRanks} from '../state/request_urgency.js';
import type {RequestUrgency} from '../state/request_urgency.js';
import {getRouteTable} from '../state/route_table.js';

export interface AccessOptions {
  clusterState: ClusterState;
  /**
   * Age of the cluster state up to which API keys are accepted; undefined to
   * accept them at any age, even though a key may have been revoked since.
   */
  maximumKeyAgeMs: number | undefined;
  /**
   * Age of the cluster state up to which an unlisted key or route is rejected as
   * unknown; beyond it the caller is asked to retry.
   */
  authoritativeAgeMs: number;
  now: number;
}

export interface GrantedAccess {
  route: Route;
  /** Undefined if the route or the configuration requires no API key. */
  customer: Customer | undefined;
  urgency: RequestUrgency;
}

/** What the head of a request tells of its access, before the body is read. */
export const HeadAccess = {
  /** The key is that of a customer, or no keys are in use. */
  KNOWN_KEY: 'known_key',
  /** Only the check after the body decides. */
  UNDECIDED: 'undecided',
  /** The request will be refused, so that its body need not be kept. */
  REFUSED: 'refused',
} as const;
export type HeadAccess = (typeof HeadAccess)[keyof typeof HeadAccess];

/** Leaves time for the way of an answer to the caller. */
const AUTHORITATIVE_RATIO = 0.9;

/**
 * Computes the age up to which a state is sure to list every key and route that must
 * be in force, if a configuration must be in force within `applyMs`.
 */
export function computeAuthoritativeAge(applyMs: number): number {
  return applyMs * AUTHORITATIVE_RATIO;
}

/** Retry-After of requests that cannot be decided yet. */
const RETRY_MS = 250;

function refuseStale(detail: string): RouterError {
  return new RouterError('stale_knowledge', detail, {retryAfterMs: RETRY_MS});
}

/**
 * Finds route and customer of a request.
 * @throws RouterError `not_ready`, `unknown_route`, `unknown_customer`,
 *   `stale_knowledge`
 */
export function checkAccess(
  metadata: RequestMetadata,
  options: AccessOptions,
): GrantedAccess {
  const {clusterState, maximumKeyAgeMs, authoritativeAgeMs, now} = options;
  const configuration = clusterState.getConfiguration();
  if (!configuration) {
    throw new RouterError('not_ready', 'no configuration is available yet', {
      retryAfterMs: RETRY_MS,
    });
  }
  const ageMs = clusterState.computeAge(now);
  const isAuthoritative = ageMs <= authoritativeAgeMs;
  const route = getRouteTable(configuration).find(metadata.host, metadata.path);
  if (!route) {
    throw isAuthoritative
      ? new RouterError('unknown_route', `no route for ${metadata.path}`)
      : refuseStale('the configuration may be outdated');
  }
  const {customersByKey} = configuration;
  const ranks = getUrgencyRanks(configuration);
  if (!customersByKey || route.isPublic) {
    return {
      route,
      customer: undefined,
      urgency: ranks.rank(route, undefined),
    };
  }
  const customer =
    metadata.apiKey === undefined
      ? undefined
      : customersByKey.get(metadata.apiKey);
  if (!customer) {
    throw isAuthoritative || metadata.apiKey === undefined
      ? new RouterError('unknown_customer', 'the API key is missing or unknown')
      : refuseStale('the API keys may be outdated');
  }
  if (maximumKeyAgeMs !== undefined && ageMs > maximumKeyAgeMs) {
    throw refuseStale(
      `the keys were last confirmed ${Math.round(ageMs)} ms ago`,
    );
  }
  return {route, customer, urgency: ranks.rank(route, customer)};
}

const FINAL_CODES: ReadonlySet<string> = new Set([
  'unknown_customer',
  'unknown_route',
]);

/**
 * Checks a request by its head. The check after the body decides: the answer is the
 * same as if it were the only one, also for a key that is revoked meanwhile.
 */
export function checkHead(
  metadata: RequestMetadata,
  options: AccessOptions,
): HeadAccess {
  try {
    const {customer} = checkAccess(metadata, options);
    const usesKeys =
      options.clusterState.getConfiguration()?.customersByKey !== undefined;
    return customer || !usesKeys ? HeadAccess.KNOWN_KEY : HeadAccess.UNDECIDED;
  } catch (error) {
    return FINAL_CODES.has(toRouterError(error).code)
      ? HeadAccess.REFUSED
      : HeadAccess.UNDECIDED;
  }
}
