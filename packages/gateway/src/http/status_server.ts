/** HTTP servers for readiness, instance addresses, cluster state and metrics. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import {splitAddress} from '@buckthornbeam/shared';

export interface StatusAnswer {
  status: number;
  /** JSON by default. */
  contentType?: string;
  body?: string;
}

/** Answers a request by its path, query and method; returns undefined if it does not match. */
export type StatusHandler = (
  url: string,
  method: string,
) => StatusAnswer | Promise<StatusAnswer> | undefined;

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
    const {url = '/', method = 'GET'} = request;
    const matched = handlers
      .map(handler => handler(url, method))
      .find(item => item);
    Promise.resolve(matched ?? {status: 404})
      .catch(() => ({status: 500}) as StatusAnswer)
      .then(({status, contentType = 'application/json', body = ''}) => {
        response.writeHead(status, {'content-type': contentType});
        response.end(body);
      })
      // Only writing can still fail, because the client has disconnected.
      .catch(() => response.destroy());
  });
}

/** Creates one server for each distinct address; handlers with the same address share it. */
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
