/** Instances on loopback that send to the same servers, some of which state limits. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {createPrefixLocations} from '@buckthornbeam/decisions';
import {createSystemClock} from '@buckthornbeam/shared';
import type {BackendServer, Route} from '../../src/model.js';
import type {CallerAnswer} from '../../src/relay/caller_answer.js';
import {relayRequest} from '../../src/relay/request_relay.js';
import {createServerConnections} from '../../src/relay/server_connections.js';
import {createRepeatBudgets} from '../../src/state/repeat_budgets.js';
import {createServerActivity} from '../../src/state/server_activity.js';
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
const ANSWER_MS = 4;
const MAINTENANCE_MS = 250;
const MAXIMUM_ANSWER_BYTES = 1000;

export const clock = createSystemClock();

export interface LimitedServer {
  id: string;
  /** Requests a second that its answers state; undefined without a limit. */
  limit: number | undefined;
  arrivals: Array<{at: number; instance: string; isTold: boolean}>;
  /** Status of its answers. */
  status: number;
}

/** What a caller gets. */
export interface CallerResult {
  status: number;
  retryAfterMs: number | undefined;
  totalMs: number;
}

/** Options of {@link startLimitedFleet}. */
export interface LimitedFleetOptions {
  instances: number;
  servers: number;
  route?: Partial<Route>;
}

/** Time after an answer with a limit from which an instance is bound by it. */
const TOLD_MS = 500;

/** Records the status that a caller receives. */
function createCollector() {
  const received = {status: 0, retryAfterMs: undefined as number | undefined};
  const answer: CallerAnswer = {
    get hasBegun() {
      return received.status !== 0;
    },
    get status() {
      return received.status;
    },
    sendComplete: head => {
      received.status = head.status;
    },
    beginStream: head => {
      received.status = head.status;
    },
    sendChunk: () => true,
    endStream: () => undefined,
    sendError: error => {
      received.retryAfterMs = error.retryAfterMs;
    },
    onDrain: () => undefined,
  };
  return {answer, received};
}

export async function startLimitedFleet(options: LimitedFleetOptions) {
  const listeners: Server[] = [];
  const servers: LimitedServer[] = [];
  /** When each instance first passed on an answer with a limit, by server. */
  const toldAt = new Map<string, number>();
  const instanceIds = Array.from(
    {length: options.instances},
    (_, index) => `instance-${index}`,
  );

  async function startServer(server: LimitedServer): Promise<string> {
    const listener = createServer((request, response) => {
      const requestId = String(request.headers['id']);
      const instance = requestId.split('/')[0]!;
      const key = `${instance} ${server.id}`;
      const at = clock.now();
      const isTold = at > (toldAt.get(key) ?? Infinity) + TOLD_MS;
      server.arrivals.push({at, instance, isTold});
      request.resume();
      setTimeout(() => {
        const {limit, status} = server;
        if (limit !== undefined) {
          toldAt.set(key, Math.min(clock.now(), toldAt.get(key) ?? Infinity));
        }
        response.writeHead(status, {
          id: requestId,
          seal: 's',
          ...(limit === undefined ? {} : {limit: String(limit)}),
          ...(status === 503 ? {'not-run': '1'} : {}),
        });
        response.end('done');
      }, ANSWER_MS);
    });
    listeners.push(listener);
    await new Promise<void>(resolve =>
      listener.listen(0, HOST, () => resolve()),
    );
    return `${HOST}:${(listener.address() as AddressInfo).port}`;
  }

  const entries: BackendServer[] = [];
  for (let index = 0; index < options.servers; index++) {
    const server = {
      id: `server-${index}`,
      limit: undefined,
      arrivals: [],
      status: 200,
    };
    servers.push(server);
    const address = await startServer(server);
    entries.push(createServerEntry({id: server.id, address, slots: 16}));
  }
  const route = createRoute(options.route);
  const configuration = createConfiguration({routes: [route]});

  function createInstance(selfId: string) {
    const clusterState = createFilledClusterState(configuration, entries);
    const activity = createServerActivity();
    const selection = createServerSelection({
      selfId,
      dataCentre: 'north',
      regions: {},
      clusterState,
      loads: createServerLoads({onChange: () => undefined}),
      activity,
      locations: createPrefixLocations(),
      prefillTokensPerMs: 100,
      shortPromptRatio: 0,
      listInstances: () => instanceIds,
      coldOverage: 1.5,
      coldSlack: 5,
    });
    const connections = createServerConnections({onOpen: () => undefined});
    const context = {
      clock,
      dialect: testDialect,
      connections,
      selection,
      activity,
      budgets: createRepeatBudgets({
        fleet: {ratio: 10, extra: 1000, windowMs: 10_000},
        countInstances: () => options.instances,
      }),
      maximumAnswerBytes: MAXIMUM_ANSWER_BYTES,
      quarantine: createTestGuard(),
      random: Math.random,
      stopSignal: new AbortController().signal,
    };
    return {selfId, selection, connections, context};
  }

  const instances = instanceIds.map(createInstance);
  const maintenance = setInterval(
    () => instances.forEach(({selection}) => selection.prune(clock.now())),
    MAINTENANCE_MS,
  );
  let lastRequest = 0;

  /** Sends one request through an instance. */
  async function send(
    instance: number,
    {urgencyPosition = 0} = {},
  ): Promise<CallerResult> {
    const {selfId, context} = instances[instance]!;
    const {answer, received} = createCollector();
    const receivedAt = clock.now();
    lastRequest += 1;
    const id = `${selfId}/${lastRequest}`;
    await relayRequest(
      {
        metadata: {
          id,
          host: 'host',
          path: '/a/',
          deadlineMs: 2000,
          apiKey: undefined,
          lastEventId: undefined,
          generation: undefined,
        },
        route,
        customer: undefined,
        urgency: {level: 0, position: urgencyPosition},
        method: 'POST',
        url: '/a/',
        headers: ['Host', 'host', 'Content-Length', '0', 'id', id],
        body: Buffer.alloc(0),
        receivedAt,
        disconnectSignal: new AbortController().signal,
      },
      answer,
      context,
    );
    return {...received, totalMs: clock.now() - receivedAt};
  }

  return {
    servers,
    send,
    /** Has callers of each instance send one request after another for a time. */
    runCallers: async (callersPerInstance: number, forMs: number) => {
      const endsAt = clock.now() + forMs;
      const results: CallerResult[] = [];
      const runCaller = async (instance: number) => {
        while (clock.now() < endsAt) {
          results.push(await send(instance));
        }
      };
      await Promise.all(
        instances.flatMap((_, index) =>
          Array.from({length: callersPerInstance}, () => runCaller(index)),
        ),
      );
      return results;
    },
    close: () => {
      clearInterval(maintenance);
      instances.forEach(({connections}) => connections.close());
      for (const listener of listeners) {
        listener.closeAllConnections();
        listener.close();
      }
    },
  };
}
