/** A TCP proxy that injects network faults between two processes. */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** How the bytes of one direction are forwarded. */
export const Flow = {
  PASS: 'pass',
  /**
   * Bytes are queued until the direction passes again, like the retransmissions
   * of TCP after a network partition has healed.
   */
  HOLD: 'hold',
} as const;
export type Flow = (typeof Flow)[keyof typeof Flow];

export interface ProxyMode {
  toServer: Flow;
  toClient: Flow;
  /** Delay of all bytes, in both directions. */
  delayMs: number;
  /** Responses on pairs of new connections are swapped. */
  isCrossed: boolean;
  /** Open connections are reset and new ones refused. */
  isClosed: boolean;
}

export interface Proxy {
  readonly address: string;
  /**
   * Replaces the mode of one layer; omitted fields get their defaults. Both
   * layers apply at the same time; where both set a field, the fault layer wins.
   */
  setMode(mode: Partial<ProxyMode>, layer?: 'fault' | 'step'): Promise<void>;
  /** Resolves when the next bytes of a client arrive. */
  waitForBytes(): Promise<void>;
  close(): Promise<void>;
}

type Direction = 'toServer' | 'toClient';

const directions: readonly Direction[] = ['toServer', 'toClient'];

interface QueueItem {
  /** Undefined for the end of the connection, which follows all earlier bytes. */
  bytes: Buffer | undefined;
  /** Earliest time of delivery, on the clock of `performance.now()`. */
  dueAt: number;
}

interface ProxiedConnection {
  client: Socket;
  server: Socket;
  /** Connection whose client receives this server's bytes, when crossed. */
  partner?: ProxiedConnection;
  /** Keep bytes and the end in order, also when a delay is removed. */
  queues: Record<Direction, QueueItem[]>;
}

/** Socket that gets the items of a direction. */
const receivers: Record<Direction, (connection: ProxiedConnection) => Socket> =
  {
    toServer: connection => connection.server,
    toClient: connection => connection.client,
  };

const defaultMode: ProxyMode = {
  toServer: Flow.PASS,
  toClient: Flow.PASS,
  delayMs: 0,
  isCrossed: false,
  isClosed: false,
};

function writeTo(socket: Socket, bytes: Buffer): void {
  if (!socket.destroyed) {
    socket.write(bytes);
  }
}

/** Starts a proxy on loopback that forwards to a `host:port`. */
export async function startProxy(target: string): Promise<Proxy> {
  const [host = '', port = ''] = target.split(':');
  const connections = new Set<ProxiedConnection>();
  const layers = {step: {}, fault: {}};
  let mode = defaultMode;
  const observers: Array<() => void> = [];

  /** Writes bytes to the receiver of a direction, or ends the connection there. */
  function writeItem(
    connection: ProxiedConnection,
    direction: Direction,
    bytes: Buffer | undefined,
  ): void {
    if (bytes === undefined) {
      receivers[direction](connection).destroySoon();
      return;
    }
    const {partner = connection} = connection;
    writeTo(
      receivers[direction](direction === 'toClient' ? partner : connection),
      bytes,
    );
  }

  /**
   * Delivers all items that are due. Sends later ones from a timer; held ones are
   * sent when the mode changes.
   */
  function sendDueItems(
    connection: ProxiedConnection,
    direction: Direction,
  ): void {
    const queue = connection.queues[direction];
    while (queue.length > 0 && mode[direction] === Flow.PASS) {
      // A timer can fire up to a millisecond early, so the time is checked again.
      const remainingMs = queue[0]!.dueAt - performance.now();
      if (remainingMs > 0) {
        setTimeout(
          () => sendDueItems(connection, direction),
          Math.ceil(remainingMs),
        );
        return;
      }
      writeItem(connection, direction, queue.shift()!.bytes);
    }
  }

  function enqueueItem(
    connection: ProxiedConnection,
    direction: Direction,
    bytes: Buffer | undefined,
  ): void {
    const queue = connection.queues[direction];
    queue.push({bytes, dueAt: performance.now() + mode.delayMs});
    // With earlier items in the queue, their delivery sends these too.
    if (queue.length === 1) {
      sendDueItems(connection, direction);
    }
  }

  function connectPartner(connection: ProxiedConnection): void {
    const unpaired = [...connections].find(
      other => other !== connection && !other.partner,
    );
    if (unpaired) {
      unpaired.partner = connection;
      connection.partner = unpaired;
    }
  }

  /** Forwards the end of one socket; forgets a connection without open sockets. */
  function handleClose(
    connection: ProxiedConnection,
    direction: Direction,
  ): void {
    enqueueItem(connection, direction, undefined);
    if (connection.client.destroyed && connection.server.destroyed) {
      connections.delete(connection);
    }
  }

  function handleConnection(client: Socket): void {
    const server = connect({host, port: Number(port)});
    const connection: ProxiedConnection = {
      client,
      server,
      queues: {toServer: [], toClient: []},
    };
    connections.add(connection);
    if (mode.isCrossed) {
      connectPartner(connection);
    }
    client.on('data', bytes => {
      observers.splice(0).forEach(observe => observe());
      enqueueItem(connection, 'toServer', bytes);
    });
    server.on('data', bytes => enqueueItem(connection, 'toClient', bytes));
    client.on('close', () => handleClose(connection, 'toServer'));
    server.on('close', () => handleClose(connection, 'toClient'));
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', () => {});
    }
  }

  function sendQueuedItems(connection: ProxiedConnection): void {
    directions.forEach(direction => sendDueItems(connection, direction));
  }

  function resetConnections(): void {
    for (const {client, server} of connections) {
      client.resetAndDestroy();
      server.resetAndDestroy();
    }
    connections.clear();
  }

  let listener: Server | undefined;
  let address = '';

  async function openListener(): Promise<void> {
    const requestedPort = Number(address.split(':')[1] ?? 0);
    const newListener = createServer(handleConnection);
    await new Promise<void>((resolve, reject) => {
      newListener.once('error', reject);
      newListener.listen(requestedPort, '127.0.0.1', resolve);
    });
    listener = newListener;
    address = `127.0.0.1:${(newListener.address() as AddressInfo).port}`;
  }

  async function closeListener(): Promise<void> {
    const closingListener = listener;
    listener = undefined;
    const closed = new Promise<void>(resolve => {
      if (closingListener) {
        closingListener.close(() => resolve());
      } else {
        resolve();
      }
    });
    resetConnections();
    await closed;
  }

  await openListener();
  return {
    get address() {
      return address;
    },
    setMode: async (next, layer = 'fault') => {
      layers[layer] = next;
      mode = {...defaultMode, ...layers.step, ...layers.fault};
      if (mode.isClosed) {
        await closeListener();
        return;
      }
      if (!listener) {
        await openListener();
      }
      connections.forEach(sendQueuedItems);
    },
    waitForBytes: () => new Promise(resolve => observers.push(resolve)),
    close: closeListener,
  };
}
