/** Model servers on loopback that end when they begin to answer a certain block. */
import {createServer} from 'node:http';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';

export interface EngineStandIn {
  readonly id: string;
  /** `host:port` */
  readonly address: string;
  readonly isEnded: boolean;
  close(): void;
}

/** Options of {@link startEngine}. */
export interface EngineOptions {
  id: string;
  /** Id of the block on which the server ends. */
  deadlyBlock: string;
  /** Called for each request with the ids of its blocks. */
  onRequest?: (blocks: readonly string[]) => void;
}

export const HOST = '127.0.0.1';
const FIRST_EVENT_MS = 20;
const EVENT = 'data: token\n\n';

export async function startEngine(
  options: EngineOptions,
): Promise<EngineStandIn> {
  const sockets = new Set<Socket>();
  let isEnded = false;

  function end(): void {
    isEnded = true;
    server.close();
    sockets.forEach(socket => socket.destroy());
  }

  function answer(request: IncomingMessage, response: ServerResponse): void {
    const blocks = String(request.headers['blocks']).split(',');
    options.onRequest?.(blocks);
    request.resume();
    setTimeout(() => {
      response.writeHead(200, {id: String(request.headers['id']), seal: 's'});
      response.flushHeaders();
      if (blocks.includes(options.deadlyBlock)) {
        // The head leaves before the end of the process.
        setTimeout(end, 1);
        return;
      }
      response.write(EVENT);
      setTimeout(() => response.end(EVENT), 1);
    }, FIRST_EVENT_MS);
  }

  const server: Server = createServer(answer);
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
  const {port} = server.address() as AddressInfo;
  return {
    id: options.id,
    address: `${HOST}:${port}`,
    get isEnded() {
      return isEnded;
    },
    close: end,
  };
}
