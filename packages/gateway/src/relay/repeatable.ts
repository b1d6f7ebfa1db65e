/** Which requests may run more than once. */
import {RouteKind} from '../model.js';
import type {Route} from '../model.js';

/** A stream may run once only, like an unsafe request, unless it may be resumed. */
const REPEATABLE_BY_KIND: Readonly<
  Record<RouteKind, (route: Route) => boolean>
> = {
  [RouteKind.SAFE]: () => true,
  [RouteKind.UNSAFE]: () => false,
  [RouteKind.STREAM]: route => route.isResumable,
};

/** Whether requests of the route may run on more than one server. */
export function isRepeatable(route: Route): boolean {
  return REPEATABLE_BY_KIND[route.kind](route);
}
