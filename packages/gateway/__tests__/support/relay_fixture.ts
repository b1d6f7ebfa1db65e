/** Relays requests to scripted servers, over one pool of connections. */
import type {Agent} from 'node:http';
import {createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {
  createPrefixLocations,
  createRoomShortages,
} from '@buckthornbeam/decisions';
import {createSystemClock} from '@buckthornbeam/shared';
import type {RouterError} from '@buckthornbeam/shared';
import type {Route} from '../../src/model.js';
import type {AnswerHead} from '../../src/relay/attempt.js';
import type {CallerAnswer} from '../../src/relay/caller_answer.js';
import {createAdmission} from '../../src/relay/admission.js';
import {relayRequest} from '../../src/relay/request_relay.js';
import type {RelayReport} from '../../src/relay/request_relay.js';
import {createServerConnections} from '../../src/relay/server_connections.js';
import type {CustomerAdmission} from '../../src/state/customer_admission.js';
import {createRepeatBudgets} from '../../src/state/repeat_budgets.js';
import {createServerActivity} from '../../src/state/server_activity.js';
import type {ServerActivity} from '../../src/state/server_activity.js';
import {createServerLoads} from '../../src/state/server_loads.js';
import {createServerSelection} from '../../src/state/server_selection.js';
import {
  createConfiguration,
  createFilledClusterState,
  createRoute,
  createServerEntry,
  createTestGuard,
  testDialect,
} from './fixtures.js';

const HOST = '127.0.0.1';
/** Part of its budget that an instance uses. */
const USED_BUDGET_RATIO = 0.8;

/** A request as a raw server received it. */
export interface ReceivedRequest {
  id: string;
  /** Id of the server that the request names. */
  serverId: string;
  head: string;
}

export type RequestHandler = (request: ReceivedRequest, socket: Socket) => void;

/** Options of {@link startRawServer}. */
export interface RawServerOptions {
  /** Called when the head of a request has arrived. */
  onHead?: RequestHandler;
  /** Called when the body of a request has arrived as well. */
  onRequest: RequestHandler;
}

export interface RawServer {
  readonly address: string;
  countConnections(): number;
  close(): void;
}

function readHeader(head: string, name: string): string {
  return new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim() ?? '';
}

const HEAD_END = '\r\n\r\n';

/** Starts a server on bare sockets, which may write what node:http would not. */
export async function startRawServer({
  onHead = () => undefined,
  onRequest,
}: RawServerOptions): Promise<RawServer> {
  const sockets = new Set<Socket>();
  let connectionCount = 0;

  function readRequests(socket: Socket): void {
    let received = '';
    let request: ReceivedRequest | undefined;
    let bodyLength = 0;

    function readHead(): void {
      const headEnd = received.indexOf(HEAD_END);
      if (headEnd < 0) {
        return;
      }
      const head = received.slice(0, headEnd);
      received = received.slice(headEnd + HEAD_END.length);
      bodyLength = Number(readHeader(head, 'content-length'));
      request = {
        id: readHeader(head, 'id'),
        serverId: readHeader(head, 'server'),
        head,
      };
      onHead(request, socket);
    }

    socket.on('data', bytes => {
      received += bytes.toString('latin1');
      if (!request) {
        readHead();
      }
      if (request && received.length >= bodyLength) {
        received = received.slice(bodyLength);
        onRequest(request, socket);
        request = undefined;
      }
    });
  }

  const server = createServer(socket => {
    connectionCount += 1;
    sockets.add(socket);
    socket.on('error', () => undefined);
    readRequests(socket);
  });
  await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
  return {
    address: `${HOST}:${(server.address() as AddressInfo).port}`,
    countConnections: () => connectionCount,
    close: () => {
      sockets.forEach(socket => socket.destroy());
      server.close();
    },
  };
}

/** Encodes an answer of a raw server. */
export function encodeAnswer(
  status: string,
  headers: readonly string[],
  body = '',
): string {
  return [
    `HTTP/1.1 ${status}`,
    ...headers,
    `Content-Length: ${body.length}`,
    '',
    body,
  ].join('\r\n');
}

/** What a caller received. */
export interface ReceivedAnswer {
  status: number;
  headers: readonly string[];
  body: string;
  isComplete: boolean;
  error: RouterError | undefined;
  report: RelayReport;
}

/** Options of {@link createRelayFixture}. */
export interface RelayFixtureOptions {
  /** Addresses by server id; servers are selected in this order. */
  addresses: Readonly<Record<string, string>>;
  route?: Partial<Route>;
  customers?: CustomerAdmission;
  /** Whether requests wait for servers in the order of urgency. */
  isOrdered?: boolean;
  /** Opens the connections to servers, in place of the pool. */
  agent?: Agent;
  deadlineMs?: number;
  /** Repeats that the budget allows in its window; it never runs out by default. */
  repeats?: number;
  repeatWindowMs?: number;
}

export interface RelayFixture {
  readonly activity: ServerActivity;
  send(requestId: string, body?: Buffer): Promise<ReceivedAnswer>;
  close(): void;
}

export function createRelayFixture(options: RelayFixtureOptions): RelayFixture {
  const route = createRoute({maximumServers: 3, ...options.route});
  const clock = createSystemClock();
  const activity = createServerActivity();
  const pool = createServerConnections();
  const connections = {...pool, agent: options.agent ?? pool.agent};
  const clusterState = createFilledClusterState(
    createConfiguration({routes: [route]}),
    Object.entries(options.addresses).map(([id, address], index) =>
      createServerEntry({
        id,
        address,
        // With many slots, only the data centre and then the list order decide.
        slots: 1000,
        dataCentre: index === 0 ? 'here' : 'there',
      }),
    ),
  );
  const admission = createAdmission({
    clusterState,
    shortages: createRoomShortages(),
    prefillTokensPerMs: 50,
    clock,
  });
  const selection = createServerSelection({
    locations: createPrefixLocations(),
    selfId: 'self',
    dataCentre: 'here',
    regions: {},
    clusterState,
    loads: createServerLoads(),
    activity,
    prefillTokensPerMs: 50,
    shortPromptRatio: 0,
    listInstances: () => ['self'],
    coldOverage: 1,
    coldSlack: 0,
    random: () => 0,
  });
  const context = {
    clock,
    dialect: testDialect,
    connections,
    selection,
    activity,
    customers: options.customers,
    budgets: createRepeatBudgets({
      fleet: {
        ratio: 0,
        extra: (options.repeats ?? 8000) / USED_BUDGET_RATIO,
        windowMs: options.repeatWindowMs ?? 10_000,
      },
      countInstances: () => 1,
    }),
    maximumAnswerBytes: 1_000_000,
    random: () => 0.5,
    quarantine: createTestGuard(),
    stopSignal: new AbortController().signal,
    ...(options.isOrdered ? {admission} : {}),
  };

  async function send(
    requestId: string,
    body: Buffer = Buffer.alloc(0),
  ): Promise<ReceivedAnswer> {
    const received: Omit<ReceivedAnswer, 'report'> = {
      status: 0,
      headers: [],
      body: '',
      isComplete: false,
      error: undefined,
    };
    function acceptHead(head: AnswerHead): void {
      received.status = head.status;
      received.headers = head.headers;
    }
    const answer: CallerAnswer = {
      get hasBegun() {
        return received.status !== 0;
      },
      get status() {
        return received.status;
      },
      sendComplete: (head, bytes) => {
        acceptHead(head);
        received.body = bytes.toString();
        received.isComplete = true;
      },
      beginStream: acceptHead,
      sendChunk: bytes => {
        received.body += bytes.toString();
        return true;
      },
      endStream: () => {
        received.isComplete = true;
      },
      sendError: error => {
        received.error = error;
      },
      onDrain: () => undefined,
    };
    const report = await relayRequest(
      {
        metadata: {
          id: requestId,
          host: 'host',
          path: '/a/',
          deadlineMs: options.deadlineMs ?? 2000,
          apiKey: undefined,
          lastEventId: undefined,
          generation: undefined,
        },
        route,
        customer: undefined,
        urgency: {level: 0, position: 0},
        method: 'POST',
        url: '/a/',
        headers: ['Host', 'host', 'id', requestId],
        body,
        receivedAt: clock.now(),
        disconnectSignal: new AbortController().signal,
      },
      answer,
      context,
    );
    return {...received, report};
  }

  return {activity, send, close: () => connections.close()};
}
