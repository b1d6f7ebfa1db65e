/** The server for the other instances: connect services over HTTP/2. */
import {createServer} from 'node:http2';
import type {Http2Server, ServerHttp2Session} from 'node:http2';
import type {AddressInfo} from 'node:net';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {ConnectRouter} from '@connectrpc/connect';
import type {ListenAddress} from '@buckthornbeam/config';

/** A listening peer server. */
export interface PeerServer {
  readonly address: string;
  close(): Promise<void>;
}

/** Starts a peer server with the given services. */
export async function startPeerServer(
  listen: ListenAddress,
  routes: (router: ConnectRouter) => void,
): Promise<PeerServer> {
  const server: Http2Server = createServer(connectNodeAdapter({routes}));
  const sessions = new Set<ServerHttp2Session>();
  server.on('session', session => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.host, resolve);
  });
  const {address, port} = server.address() as AddressInfo;
  return {
    address: `${address}:${port}`,
    close: () =>
      new Promise(resolve => {
        for (const session of sessions) {
          session.destroy();
        }
        server.close(() => resolve());
      }),
  };
}
