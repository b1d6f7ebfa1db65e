/** A gateway on loopback before servers that state in their answers that they leave. */
import {createServer, request as startRequest} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {RouterError, createSystemClock, waitFor} from '@buckthornbeam/shared';
import {createGateway} from '../../src/gateway.js';
import type {BackendServer, Route, Service} from '../../src/model.js';
import type {CallerDialect, StoreReader} from '../../src/ports.js';
import {parseGatewaySettings} from '../../src/settings.js';
import {
  createConfiguration,
  createRoute,
  createServerEntry,
  silentLogger,
  testDialect,
} from './fixtures.js';

export const HOST = '127.0.0.1';
/**
 * Address of the gateway, of its own in this process: connections that others open from
 * the usual one can take a port between its choice and its use.
 */
const GATEWAY_HOST = `127.10.${(process.pid >> 8) & 255}.${process.pid & 255}`;
const DEADLINE_MS = 2000;
const ANSWER_MS = 4;
const STORE_POLL_MS = 10;
const READY_LIMIT_MS = 5000;

/** How a server answers a request. */
export type Answerer = (
  request: IncomingMessage,
  response: ServerResponse,
  headers: Record<string, string>,
) => void;

export interface Arrival {
  requestId: string;
  /** Time at which the caller sent it, in milliseconds. */
  sentAt: number;
  /** Time at which the server received it, in milliseconds. */
  arrivedAt: number;
}

export interface LeavingServer {
  entry: BackendServer;
  arrivals: Arrival[];
  isLeaving: boolean;
  answer: Answerer;
  /** When a caller first read an answer that says that this server leaves. */
  passedOnAt: number | undefined;
}

export interface CallerResult {
  status: number;
  serverId: string | undefined;
  body: string;
  retryAfter: string | undefined;
}

/** Options of {@link startLeavingFleet}. */
export interface LeavingFleetOptions {
  servers?: number;
  route?: Partial<Route>;
  service?: Partial<Service>;
  /** Ids of the prompt's blocks; without them requests are no generations. */
  blocks?: readonly string[];
}

export const clock = createSystemClock();

/** Answers with success after a short time. */
export const answerSoon: Answerer = (_, response, headers) => {
  setTimeout(() => {
    response.writeHead(200, headers);
    response.end('good');
  }, ANSWER_MS);
};

async function startListener(answer: Answerer, own: {server?: LeavingServer}) {
  const server = createServer((request, response) => {
    const {server: self} = own;
    const id = String(request.headers['id']);
    self!.arrivals.push({
      requestId: id,
      sentAt: Number(request.headers['sent']),
      arrivedAt: clock.now(),
    });
    request.resume();
    self!.answer(request, response, {
      id,
      seal: 's',
      by: self!.entry.id,
      ...(self!.isLeaving ? {leaving: '1'} : {}),
    });
  });
  await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
  return server;
}

async function findPort(): Promise<number> {
  const server = createTcpServer();
  await new Promise<void>(resolve =>
    server.listen(0, GATEWAY_HOST, () => resolve()),
  );
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

export async function startLeavingFleet(options: LeavingFleetOptions = {}) {
  const opened: Array<Awaited<ReturnType<typeof startListener>>> = [];
  const servers: LeavingServer[] = [];
  const store = {
    isAway: false,
    revision: 1,
    listed: [] as BackendServer[],
    successfulReads: 0,
  };
  let lastRequest = 0;

  async function addServer(
    changes: Partial<BackendServer> = {},
  ): Promise<LeavingServer> {
    const own: {server?: LeavingServer} = {};
    const listener = await startListener(answerSoon, own);
    opened.push(listener);
    const {port} = listener.address() as AddressInfo;
    const server = {
      entry: createServerEntry({
        id: `s${servers.length}`,
        address: `${HOST}:${port}`,
        slots: 16,
        ...changes,
      }),
      arrivals: [],
      isLeaving: false,
      answer: answerSoon,
      passedOnAt: undefined,
    };
    own.server = server;
    servers.push(server);
    return server;
  }

  /** Puts the servers into the store's list, in place of those listed before. */
  function setListed(listed: readonly LeavingServer[]): void {
    store.listed = listed.map(({entry}) => entry);
    store.revision += 1;
  }

  for (let index = 0; index < (options.servers ?? 3); index++) {
    await addServer();
  }
  setListed(servers);
  const service: Service = {
    name: 'service',
    maximumConnections: 200,
    coldMs: 0,
    coldRequestsPerSecond: 0,
    engine: undefined,
    ...options.service,
  };
  const configuration = createConfiguration({
    routes: [createRoute({isPublic: true, ...options.route})],
    services: new Map([['service', service]]),
    customersByKey: undefined,
  });

  function readStore() {
    if (store.isAway) {
      throw new RouterError('platform_unavailable', 'answered 503');
    }
    store.successfulReads += 1;
    return {
      revision: store.revision,
      isFull: true,
      changes: [
        {type: 'configuration', configuration, text: 'text'} as const,
        ...store.listed.map(server => ({type: 'server', server}) as const),
      ],
    };
  }

  const reader: StoreReader = {
    fetchAll: async () => readStore(),
    watchChanges: async (_, _waitMs, signal) => {
      await waitFor(STORE_POLL_MS, signal);
      return readStore();
    },
    decodeConfiguration: () => configuration,
    close: () => undefined,
  };

  const callerDialect: CallerDialect = {
    readRequest: (url, headers) => ({
      id: headers[headers.indexOf('id') + 1]!,
      host: 'host',
      path: url,
      deadlineMs: DEADLINE_MS,
      apiKey: undefined,
      lastEventId: undefined,
      generation: options.blocks && {
        model: 'model',
        promptTokens: 300,
        maximumOutputTokens: 10,
        expectedOutputTokens: 10,
        blocks: options.blocks.map(id => ({id, tokens: 100})),
      },
    }),
    isAddressQuery: () => false,
    encodeAddresses: () => '',
    readinessPath: '/ready',
  };

  const [callers, status, peers] = [
    await findPort(),
    await findPort(),
    await findPort(),
  ];
  const gateway = createGateway({
    settings: parseGatewaySettings(
      JSON.stringify({
        instanceId: 'instance-0',
        dataCentre: 'north',
        regions: {north: 'region'},
        listen: {
          callers: `${GATEWAY_HOST}:${callers}`,
          readiness: `${GATEWAY_HOST}:${status}`,
          addresses: `${GATEWAY_HOST}:${status}`,
          peers: `${GATEWAY_HOST}:${peers}`,
        },
        isFirstStart: true,
        store: {address: `${HOST}:1`},
        stop: {graceMs: 0},
        repeats: {ratio: 10, extra: 10_000},
      }),
    ),
    store: reader,
    callers: callerDialect,
    servers: testDialect,
    logger: silentLogger,
  });
  await gateway.start();

  function readHead(incoming: IncomingMessage): LeavingServer | undefined {
    const server = servers.find(
      ({entry}) => entry.id === incoming.headers['by'],
    );
    if (server && incoming.headers['leaving'] !== undefined) {
      server.passedOnAt ??= clock.now();
    }
    return server;
  }

  /** Sends one request as a caller and reads the whole answer. */
  function send(): Promise<CallerResult> {
    lastRequest += 1;
    const requestId = `r${lastRequest}`;
    return new Promise(resolve => {
      const result: CallerResult = {
        status: 0,
        serverId: undefined,
        body: '',
        retryAfter: undefined,
      };
      const outgoing = startRequest(
        {
          host: GATEWAY_HOST,
          port: callers,
          path: '/a/',
          method: 'POST',
          agent: false,
          headers: {id: requestId, sent: String(clock.now())},
        },
        incoming => {
          result.status = incoming.statusCode ?? 0;
          result.serverId = readHead(incoming)?.entry.id;
          result.retryAfter = incoming.headers['retry-after'];
          incoming.on('data', bytes => (result.body += bytes));
          incoming.on('error', () => undefined);
          incoming.on('close', () => resolve(result));
        },
      );
      outgoing.on('error', () => resolve(result));
      outgoing.end();
    });
  }

  const readyBy = clock.now() + READY_LIMIT_MS;
  while (clock.now() < readyBy && (await send()).status !== 200) {
    await waitFor(STORE_POLL_MS);
  }

  return {
    servers,
    store,
    addServer,
    setListed,
    send,
    /** Waits until the gateway has read and applied what the store has now. */
    waitForRead: async () => {
      const {successfulReads} = store;
      const waitEndsAt = clock.now() + READY_LIMIT_MS;
      while (store.successfulReads === successfulReads) {
        if (clock.now() > waitEndsAt) {
          throw new RouterError('platform_unavailable', 'no read of the store');
        }
        await waitFor(STORE_POLL_MS);
      }
      await waitFor(STORE_POLL_MS);
    },
    /** Has callers send one request after another for a time. */
    runCallers: async (count: number, forMs: number) => {
      const endsAt = clock.now() + forMs;
      const results: CallerResult[] = [];
      async function runCaller(): Promise<void> {
        while (clock.now() < endsAt) {
          results.push(await send());
        }
      }
      await Promise.all(Array.from({length: count}, runCaller));
      return results;
    },
    /** Counts the requests sent after an answer said that the server leaves. */
    countAfter: ({arrivals, passedOnAt = Infinity}: LeavingServer) =>
      arrivals.filter(({sentAt}) => sentAt > passedOnAt).length,
    close: async () => {
      await gateway.stop();
      for (const server of opened) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}
