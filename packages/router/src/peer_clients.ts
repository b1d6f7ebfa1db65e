/** Connect clients for the other instances, over one HTTP/2 connection each. */
import {createClient} from '@connectrpc/connect';
import type {Client} from '@connectrpc/connect';
import {
  Http2SessionManager,
  createConnectTransport,
} from '@connectrpc/connect-node';
import {
  DispatchService,
  PeerService,
  TicketService,
} from '@buckthornbeam/protocol';

/** Clients for the services of one peer. */
export interface PeerClient {
  peer: Client<typeof PeerService>;
  dispatch: Client<typeof DispatchService>;
  ticket: Client<typeof TicketService>;
}

/** Pool with one client per address. */
export interface PeerClients {
  getClient(address: string): PeerClient;
  /** Closes all connections; an open one would keep the process running. */
  close(): void;
}

const IDLE_CONNECTION_TIMEOUT_MS = 60_000;

/** Creates an empty pool of peer clients. */
export function createPeerClients(): PeerClients {
  const clients = new Map<string, PeerClient>();
  const sessions: Http2SessionManager[] = [];

  function createPeerClient(address: string): PeerClient {
    const baseUrl = `http://${address}`;
    const sessionManager = new Http2SessionManager(baseUrl, {
      idleConnectionTimeoutMs: IDLE_CONNECTION_TIMEOUT_MS,
    });
    sessions.push(sessionManager);
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      useBinaryFormat: true,
      sessionManager,
    });
    return {
      peer: createClient(PeerService, transport),
      dispatch: createClient(DispatchService, transport),
      ticket: createClient(TicketService, transport),
    };
  }

  return {
    getClient: address => {
      const existing = clients.get(address);
      if (existing) {
        return existing;
      }
      const client = createPeerClient(address);
      clients.set(address, client);
      return client;
    },
    close: () => sessions.forEach(session => session.abort()),
  };
}
