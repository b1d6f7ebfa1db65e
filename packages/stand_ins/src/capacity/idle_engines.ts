/** Engines that serve only `/load` and always report an empty load. */
import {H3} from 'h3';
import {serveApp} from '../http_server.js';
import type {ListeningServer} from '../http_server.js';

export interface IdleEngines {
  readonly addresses: readonly string[];
  close(): Promise<void>;
}

/** Starts idle engines on loopback, each on a port of its own. */
export async function startIdleEngines(count: number): Promise<IdleEngines> {
  const load = {running: 0, waiting: 0, completed: 0, startedAt: 0};
  const app = new H3({silent: true});
  app.get('/load', () => load);
  const servers: ListeningServer[] = [];
  for (let index = 0; index < count; index++) {
    servers.push(await serveApp(app));
  }
  return {
    addresses: servers.map(server => server.address),
    close: async () => {
      await Promise.all(servers.map(server => server.close()));
    },
  };
}
