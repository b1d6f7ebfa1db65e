/** A server for callers on loopback, before one backend server. */
import {connect, createServer} from 'node:net';
import type {AddressInfo, Socket} from 'node:net';
import {createPrefixLocations} from '@buckthornbeam/decisions';
import {createSystemClock} from '@buckthornbeam/shared';
import {createCallerServer} from '../../src/http/caller_server.js';
import type {
  CallerServer,
  CallerServerOptions,
} from '../../src/http/caller_server.js';
import {createGatewayMetrics} from '../../src/metrics.js';
import type {Route} from '../../src/model.js';
import type {CallerDialect} from '../../src/ports.js';
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
  silentLogger,
  testDialect,
} from './fixtures.js';

export const HOST = '127.0.0.1';

/** Options of {@link startCallerGateway}. */
export interface CallerGatewayOptions {
  backendPort: number;
  /** Deadline of each request, in milliseconds. */
  deadlineMs?: number;
  route?: Partial<Route>;
  maximumAnswerBytes?: number;
  changes?: Partial<CallerServerOptions>;
}

export interface CallerGateway {
  callers: CallerServer;
  port: number;
  close(): void;
}

function createCallerDialect(deadlineMs: number): CallerDialect {
  return {
    readRequest: url => ({
      id: 'r1',
      host: 'host',
      path: url,
      deadlineMs,
      apiKey: undefined,
      lastEventId: undefined,
      generation: undefined,
    }),
    isAddressQuery: () => false,
    encodeAddresses: () => '',
    readinessPath: '/ready',
  };
}

async function findPort(): Promise<number> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Starts a server for callers that sends all requests to one backend server. */
export async function startCallerGateway({
  backendPort,
  deadlineMs = 600,
  route: routeChanges = {},
  maximumAnswerBytes = 32_000_000,
  changes = {},
}: CallerGatewayOptions): Promise<CallerGateway> {
  const route = createRoute(routeChanges);
  const configuration = createConfiguration({routes: [route]});
  const clusterState = createFilledClusterState(configuration, [
    createServerEntry({address: `${HOST}:${backendPort}`}),
  ]);
  const activity = createServerActivity();
  const connections = createServerConnections();
  const clock = createSystemClock();
  const port = await findPort();
  const callers = createCallerServer({
    address: `${HOST}:${port}`,
    dialect: createCallerDialect(deadlineMs),
    relay: {
      clock,
      dialect: testDialect,
      connections,
      selection: createServerSelection({
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
      }),
      activity,
      budgets: createRepeatBudgets({
        fleet: {ratio: 0, extra: 10, windowMs: 10_000},
        countInstances: () => 1,
      }),
      maximumAnswerBytes,
      random: Math.random,
      quarantine: createTestGuard(),
    },
    grantAccess: async () => ({
      route,
      customer: undefined,
      urgency: {level: 0, position: 0},
    }),
    getLimits: () => configuration.limits,
    describeClusterState: () => ({}),
    maximumOpenRequests: 100,
    maximumHeldBytes: 10_000_000,
    clock,
    logger: silentLogger,
    metrics: createGatewayMetrics({
      countOpenRequests: () => 0,
      computeClusterStateAgeMs: () => 0,
      getConfigurationVersion: () => 0,
      countPeers: () => 0,
      countQuarantined: () => 0,
      countLimitedServers: () => 0,
      countPausedServers: () => 0,
      getLongestPauseMs: () => 0,
    }),
    ...changes,
  });
  await callers.start();
  return {
    callers,
    port,
    close: () => {
      callers.stop();
      connections.close();
    },
  };
}

export async function openSocket(port: number): Promise<Socket> {
  const socket = connect({host: HOST, port});
  socket.on('error', () => undefined);
  await new Promise<void>(resolve => socket.once('connect', () => resolve()));
  return socket;
}
