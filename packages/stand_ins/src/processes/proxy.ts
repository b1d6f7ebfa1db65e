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

interface QueuedBytes {
  bytes: Buffer;
  /** Earliest time of delivery, on the clock of `performance.now()`. */
  dueAt: number;
}

interface ProxiedConnection {
  client: Socket;
  server: Socket;
  /** Connection whose client receives this server's bytes, when crossed. */
  partner?: ProxiedConnection;
  /** Keep the bytes in order, also when a delay is removed. */
  queues: Record<Direction, QueuedBytes[]>;
}

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

  /**
   * Writes all bytes that are due. Sends later ones from a timer; held ones are
   * sent when the mode changes.
   */
  function sendDueBytes(
    connection: ProxiedConnection,
    direction: Direction,
  ): void {
    const queue = connection.queues[direction];
    while (queue.length > 0 && mode[direction] === Flow.PASS) {
      const remainingMs = queue[0]!.dueAt - performance.now();
      if (remainingMs > 0) {
        setTimeout(
          () => sendDueBytes(connection, direction),
          Math.ceil(remainingMs),
        );
        return;
      }
      const receiver =
        direction === 'toServer'
          ? connection
          : (connection.partner ?? connection);
      const socket =
        direction === 'toServer' ? receiver.server : receiver.client;
      writeTo(socket, queue.shift()!.bytes);
    }
  }

  function forwardBytes(
    connection: ProxiedConnection,
    direction: Direction,
    bytes: Buffer,
  ): void {
    const queue = connection.queues[direction];
    const dueAt = performance.now() + mode.delayMs;
    queue.push({bytes, dueAt});
    // With earlier bytes in the queue, their delivery sends these too.
    if (queue.length === 1) {
      sendDueBytes(connection, direction);
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

  function closeConnection(connection: ProxiedConnection): void {
    connections.delete(connection);
    // The close is delayed like data and follows all queued bytes.
    const now = performance.now();
    const lastDueAt = Math.max(
      now + mode.delayMs,
      ...directions.flatMap(direction =>
        connection.queues[direction].map(({dueAt}) => dueAt),
      ),
    );
    setTimeout(
      () => {
        directions.forEach(direction => sendDueBytes(connection, direction));
        connection.client.destroySoon();
        connection.server.destroySoon();
      },
      Math.ceil(lastDueAt - now),
    );
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
      forwardBytes(connection, 'toServer', bytes);
    });
    server.on('data', bytes => forwardBytes(connection, 'toClient', bytes));
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.on('close', () => closeConnection(connection));
    }
  }

  function sendQueuedBytes(connection: ProxiedConnection): void {
    directions.forEach(direction => sendDueBytes(connection, direction));
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
      connections.forEach(sendQueuedBytes);
    },
    waitForBytes: () => new Promise(resolve => observers.push(resolve)),
    close: closeListener,
  };
}
