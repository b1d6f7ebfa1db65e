/** Small HTTP servers beside the callers' port: readiness, addresses, peers, metrics. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {splitAddress} from '@buckthornbeam/shared';

/** An answer of a status server. */
export interface StatusAnswer {
  status: number;
  contentType?: string;
  body?: string;
}

/** Answers a request by its path and query; undefined if it is not known. */
export type StatusHandler = (
  url: string,
) => StatusAnswer | Promise<StatusAnswer> | undefined;

/** Status servers, one for each distinct address. */
export interface StatusServers {
  start(): Promise<void>;
  stop(): void;
}

function openListener(server: Server, address: string): Promise<void> {
  const {host, port} = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.removeListener('error', reject);
      resolve();
    });
  });
}

function createStatusServer(handlers: readonly StatusHandler[]): Server {
  return createServer((request, response) => {
    request.resume();
    const url = request.url ?? '/';
    const found = handlers.map(handler => handler(url)).find(item => item);
    Promise.resolve(found ?? {status: 404})
      .catch(() => ({status: 500}) as StatusAnswer)
      .then(({status, contentType = 'application/json', body = ''}) => {
        response.writeHead(status, {'content-type': contentType});
        response.end(body);
      })
      // The only failure left is a reader that has gone.
      .catch(() => response.destroy());
  });
}

/** Creates the servers; handlers with the same address share one. */
export function createStatusServers(
  routes: ReadonlyArray<readonly [address: string, handler: StatusHandler]>,
): StatusServers {
  const byAddress = new Map<string, StatusHandler[]>();
  for (const [address, handler] of routes) {
    byAddress.set(address, [...(byAddress.get(address) ?? []), handler]);
  }
  const servers = [...byAddress].map(
    ([address, handlers]) => [address, createStatusServer(handlers)] as const,
  );
  return {
    start: async () => {
      await Promise.all(
        servers.map(([address, server]) => openListener(server, address)),
      );
    },
    stop: () => {
      for (const [, server] of servers) {
        server.close();
        server.closeAllConnections();
      }
    },
  };
}
