/** Finds the route of a request by its host and the longest matching path prefix. */
import type {Route, ServiceConfiguration} from '../model.js';

/** Index over the routes of one configuration. */
export interface RouteTable {
  find(host: string, path: string): Route | undefined;
}

function indexByHost(routes: readonly Route[]): Map<string, Route[]> {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const list = byHost.get(route.host) ?? [];
    list.push(route);
    byHost.set(route.host, list);
  }
  for (const list of byHost.values()) {
    list.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
}

const tables = new WeakMap<ServiceConfiguration, RouteTable>();

/** Returns the route table of a configuration, built on the first call. */
export function getRouteTable(configuration: ServiceConfiguration): RouteTable {
  let table = tables.get(configuration);
  if (!table) {
    const byHost = indexByHost(configuration.routes);
    table = {
      find: (host, path) =>
        byHost.get(host)?.find(route => path.startsWith(route.pathPrefix)),
    };
    tables.set(configuration, table);
  }
  return table;
}
