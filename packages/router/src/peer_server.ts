/** Server for the other instances: Connect services over HTTP/2. */
import {createServer} from 'node:http2';
import type {Http2Server, ServerHttp2Session} from 'node:http2';
import type {AddressInfo, Socket} from 'node:net';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import type {ConnectRouter} from '@connectrpc/connect';
import type {ListenAddress} from '@buckthornbeam/config';

/** Traffic on connections that peers opened, since the server started. */
export interface PeerTraffic {
  bytesIn: number;
  bytesOut: number;
  calls: number;
}

export interface PeerServer {
  /** `host:port`. */
  readonly address: string;
  getTraffic(): PeerTraffic;
  close(): Promise<void>;
}

/** Counts bytes and calls over all connections, closed ones included. */
function trackTraffic(server: Http2Server): () => PeerTraffic {
  const totals: PeerTraffic = {bytesIn: 0, bytesOut: 0, calls: 0};
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => {
      sockets.delete(socket);
      totals.bytesIn += socket.bytesRead;
      totals.bytesOut += socket.bytesWritten;
    });
  });
  server.on('stream', () => {
    totals.calls += 1;
  });
  return () => {
    const traffic = {...totals};
    for (const socket of sockets) {
      traffic.bytesIn += socket.bytesRead;
      traffic.bytesOut += socket.bytesWritten;
    }
    return traffic;
  };
}

/** Starts listening for peers; `routes` registers the services. */
export async function startPeerServer(
  listen: ListenAddress,
  routes: (router: ConnectRouter) => void,
): Promise<PeerServer> {
  const server: Http2Server = createServer(connectNodeAdapter({routes}));
  const getTraffic = trackTraffic(server);
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
    getTraffic,
    close: () =>
      new Promise(resolve => {
        for (const session of sessions) {
          session.destroy();
        }
        server.close(() => resolve());
      }),
  };
}
