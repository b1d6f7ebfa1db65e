/** A TCP proxy that injects the faults of a network between two processes. */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';

/** What a direction does with its bytes. */
export const Flow = {
  PASS: 'pass',
  /** Bytes wait until the direction passes again, as over a healed cut. */
  HOLD: 'hold',
} as const;
export type Flow = (typeof Flow)[keyof typeof Flow];

/** State of both directions. */
export interface ProxyMode {
  toServer: Flow;
  toClient: Flow;
  /** Delay of all bytes in each direction, in milliseconds. */
  delayMs: number;
  /** Answers of two connections change places. */
  isCrossed: boolean;
  /** Connections are broken and refused. */
  isClosed: boolean;
}

/** A running proxy. */
export interface Proxy {
  readonly address: string;
  /**
   * Changes the mode of one layer; what is not named returns to passing. The
   * layers of a step and of a fault hold at once.
   */
  setMode(mode: Partial<ProxyMode>, layer?: 'fault' | 'step'): Promise<void>;
  /** Returns once bytes of a client were seen after this call. */
  waitForBytes(): Promise<void>;
  close(): Promise<void>;
}

type Direction = 'toServer' | 'toClient';

const directions: readonly Direction[] = ['toServer', 'toClient'];

/** Bytes on their way. */
interface Delivery {
  bytes: Buffer;
  /** Not before this time, in milliseconds of the steady clock. */
  dueAt: number;
}

interface Link {
  client: Socket;
  server: Socket;
  /** Where the answer's bytes go instead, when crossed. */
  partner?: Link;
  /** Bytes leave in the order in which they came, also when a delay ends. */
  queues: Record<Direction, Delivery[]>;
}

const passing: ProxyMode = {
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

/** Starts a proxy on loopback before a `host:port`. */
export async function startProxy(target: string): Promise<Proxy> {
  const [host = '', port = ''] = target.split(':');
  const links = new Set<Link>();
  const layers = {step: {}, fault: {}};
  let mode = passing;
  const observers: Array<() => void> = [];

  /** Writes what is due; the rest follows in time or once the hold ends. */
  function sendDue(link: Link, direction: Direction): void {
    const queue = link.queues[direction];
    while (queue.length > 0 && mode[direction] === Flow.PASS) {
      const leftMs = queue[0]!.dueAt - performance.now();
      if (leftMs > 0) {
        setTimeout(() => sendDue(link, direction), Math.ceil(leftMs));
        return;
      }
      const end = direction === 'toServer' ? link : (link.partner ?? link);
      const socket = direction === 'toServer' ? end.server : end.client;
      writeTo(socket, queue.shift()!.bytes);
    }
  }

  function forwardBytes(link: Link, direction: Direction, bytes: Buffer): void {
    const queue = link.queues[direction];
    const dueAt = performance.now() + mode.delayMs;
    queue.push({bytes, dueAt});
    // Otherwise the delivery of the bytes before takes these along.
    if (queue.length === 1) {
      sendDue(link, direction);
    }
  }

  function connectPartner(link: Link): void {
    const single = [...links].find(other => other !== link && !other.partner);
    if (single) {
      single.partner = link;
      link.partner = single;
    }
  }

  function endLink(link: Link): void {
    links.delete(link);
    // An end that is on its way is late too, and comes after the bytes.
    const now = performance.now();
    const lastDueAt = Math.max(
      now + mode.delayMs,
      ...directions.flatMap(direction =>
        link.queues[direction].map(({dueAt}) => dueAt),
      ),
    );
    setTimeout(
      () => {
        directions.forEach(direction => sendDue(link, direction));
        link.client.destroySoon();
        link.server.destroySoon();
      },
      Math.ceil(lastDueAt - now),
    );
  }

  function handleConnection(client: Socket): void {
    const server = connect({host, port: Number(port)});
    const link: Link = {
      client,
      server,
      queues: {toServer: [], toClient: []},
    };
    links.add(link);
    if (mode.isCrossed) {
      connectPartner(link);
    }
    client.on('data', bytes => {
      observers.splice(0).forEach(observe => observe());
      forwardBytes(link, 'toServer', bytes);
    });
    server.on('data', bytes => forwardBytes(link, 'toClient', bytes));
    for (const socket of [client, server]) {
      socket.setNoDelay(true);
      socket.on('error', () => {});
      socket.on('close', () => endLink(link));
    }
  }

  function releaseHeld(link: Link): void {
    directions.forEach(direction => sendDue(link, direction));
  }

  function breakLinks(): void {
    for (const {client, server} of links) {
      client.resetAndDestroy();
      server.resetAndDestroy();
    }
    links.clear();
  }

  let listener: Server | undefined;
  let address = '';

  async function openListener(): Promise<void> {
    const wanted = Number(address.split(':')[1] ?? 0);
    const opened = createServer(handleConnection);
    await new Promise<void>((resolve, reject) => {
      opened.once('error', reject);
      opened.listen(wanted, '127.0.0.1', resolve);
    });
    listener = opened;
    address = `127.0.0.1:${(opened.address() as AddressInfo).port}`;
  }

  async function closeListener(): Promise<void> {
    const closing = listener;
    listener = undefined;
    const closed = new Promise<void>(resolve => {
      if (closing) {
        closing.close(() => resolve());
      } else {
        resolve();
      }
    });
    breakLinks();
    await closed;
  }

  await openListener();
  return {
    get address() {
      return address;
    },
    setMode: async (next, layer = 'fault') => {
      layers[layer] = next;
      mode = {...passing, ...layers.step, ...layers.fault};
      if (mode.isClosed) {
        await closeListener();
        return;
      }
      if (!listener) {
        await openListener();
      }
      links.forEach(releaseHeld);
    },
    waitForBytes: () => new Promise(resolve => observers.push(resolve)),
    close: closeListener,
  };
}
