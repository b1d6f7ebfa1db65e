/** Decides whether a request is allowed, and by which route it goes. */
import {RouterError} from '@buckthornbeam/shared';
import type {Customer, RequestMetadata, Route} from '../model.js';
import type {ClusterState} from '../state/cluster_state.js';
import {getRouteTable} from '../state/route_table.js';

/** Options of {@link checkAccess}. */
export interface AccessOptions {
  knowledge: ClusterState;
  /**
   * Age of the knowledge up to which API keys are taken, in milliseconds;
   * undefined where a withdrawn key may go on being used.
   */
  maximumKeyAgeMs: number | undefined;
  /** Age up to which an unknown key or route is taken as unknown, in milliseconds. */
  certainAgeMs: number;
  now: number;
}

/** An allowed request. */
export interface GrantedAccess {
  route: Route;
  customer: Customer | undefined;
}

/** When callers without an answer are to come back, in milliseconds. */
const RETRY_MS = 250;

function refuseUnsure(detail: string): RouterError {
  return new RouterError('stale_knowledge', detail, {retryAfterMs: RETRY_MS});
}

/**
 * Finds route and customer of a request.
 * @throws RouterError `not_ready`, `unknown_route`, `unknown_customer`,
 *   `stale_knowledge`
 */
export function checkAccess(
  facts: RequestMetadata,
  options: AccessOptions,
): GrantedAccess {
  const {knowledge, maximumKeyAgeMs, certainAgeMs, now} = options;
  const configuration = knowledge.getConfiguration();
  if (!configuration) {
    throw new RouterError('not_ready', 'no configuration is known yet', {
      retryAfterMs: RETRY_MS,
    });
  }
  const ageMs = knowledge.computeAge(now);
  const isCertain = ageMs <= certainAgeMs;
  const route = getRouteTable(configuration).find(facts.host, facts.path);
  if (!route) {
    throw isCertain
      ? new RouterError('unknown_route', `no route for ${facts.path}`)
      : refuseUnsure('the route is not known here');
  }
  const {customersByKey} = configuration;
  if (!customersByKey || route.isPublic) {
    return {route, customer: undefined};
  }
  const customer =
    facts.apiKey === undefined ? undefined : customersByKey.get(facts.apiKey);
  if (!customer) {
    throw isCertain || facts.apiKey === undefined
      ? new RouterError('unknown_customer', 'the key belongs to no customer')
      : refuseUnsure('the key is not known here');
  }
  if (maximumKeyAgeMs !== undefined && ageMs > maximumKeyAgeMs) {
    throw refuseUnsure(
      `the keys were last confirmed ${Math.round(ageMs)} ms ago`,
    );
  }
  return {route, customer};
}
