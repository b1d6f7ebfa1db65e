/** HTTP server of the stand-ins: an h3 app on node:http. */
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import type {H3} from 'h3';
import {toNodeHandler} from 'h3/node';

export interface ListeningServer {
  readonly address: string;
  /** Stops listening and closes all connections immediately. */
  close(): Promise<void>;
  /** Closes all connections but keeps listening. */
  closeConnections(): void;
}

/** Serves an app on loopback; with port 0 the system chooses a free port. */
export async function serveApp(app: H3, port = 0): Promise<ListeningServer> {
  const server = createServer(toNodeHandler(app));
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const bound = server.address() as AddressInfo;
  return {
    address: `${bound.address}:${bound.port}`,
    closeConnections: () => server.closeAllConnections(),
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
