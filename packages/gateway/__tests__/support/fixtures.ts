/** Test data shared by the tests of the gateway. */
import {LimitStatementType} from '@buckthornbeam/decisions';
import {LogLevel, createLogger, createSystemClock} from '@buckthornbeam/shared';
import {RouteKind} from '../../src/model.js';
import type {
  BackendServer,
  Route,
  ServiceConfiguration,
} from '../../src/model.js';
import type {ServerDialect} from '../../src/ports.js';
import {createQuarantineGuard} from '../../src/relay/quarantine_guard.js';
import type {QuarantineGuard} from '../../src/relay/quarantine_guard.js';
import {createServerProbe} from '../../src/relay/server_probe.js';
import {createClusterState} from '../../src/state/cluster_state.js';

export const silentLogger = createLogger({level: LogLevel.SILENT});

export function createRoute(changes: Partial<Route> = {}): Route {
  return {
    name: 'route',
    host: 'host',
    pathPrefix: '/a/',
    kind: RouteKind.SAFE,
    targets: [{serviceName: 'service', weight: 1}],
    timeoutMs: 2000,
    targetLatencyMs: 200,
    eventPauseMs: undefined,
    priority: 0,
    maximumServers: 2,
    isPublic: false,
    isResumable: false,
    allowedRegions: [],
    ...changes,
  };
}

export function createConfiguration(
  changes: Partial<ServiceConfiguration> = {},
): ServiceConfiguration {
  return {
    version: 1,
    routes: [createRoute()],
    services: new Map([
      [
        'service',
        {
          name: 'service',
          maximumConnections: 100,
          coldMs: 3000,
          coldRequestsPerSecond: 0,
          engine: undefined,
        },
      ],
    ]),
    customersByKey: new Map([['key', {name: 'customer', priority: undefined}]]),
    limits: {
      maximumHeaderBytes: 16_384,
      maximumBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    ...changes,
  };
}

export function createServerEntry(
  changes: Partial<BackendServer> = {},
): BackendServer {
  return {
    id: 's1',
    serviceName: 'service',
    address: '127.0.0.1:1',
    dataCentre: 'north',
    isDraining: false,
    slots: 4,
    coldLeftMs: 0,
    startedAt: 1,
    ...changes,
  };
}

/** Creates a cluster state with a configuration and servers, confirmed at time 0. */
export function createFilledClusterState(
  configuration: ServiceConfiguration,
  servers: readonly BackendServer[],
) {
  const clusterState = createClusterState({
    logger: silentLogger,
    decodeConfiguration: () => configuration,
  });
  clusterState.applyStoreSnapshot(
    {
      revision: 10,
      isFull: true,
      changes: [
        {type: 'configuration', configuration, text: 'text'},
        ...servers.map(server => ({type: 'server', server}) as const),
      ],
    },
    0,
  );
  return clusterState;
}

/** Creates the guard of an instance without peers. */
export function createTestGuard(): QuarantineGuard {
  return createQuarantineGuard({
    selfId: 'self',
    listInstances: () => ['self'],
    probe: createServerProbe(),
    clock: createSystemClock(),
    logger: silentLogger,
  });
}

/** A dialect with short header names that only the tests use. */
export const testDialect: ServerDialect = {
  buildHeaders: (received, fields) => [
    ...received,
    'deadline',
    String(fields.remainingMs),
    'server',
    fields.serverId,
    ...(fields.lastEventId === undefined ? [] : ['last', fields.lastEventId]),
  ],
  readAnswer: (status, headers) => ({
    requestId: headers['id'] as string | undefined,
    isNotRun: headers['not-run'] !== undefined,
    isOtherServer: status === 421,
    isSealed: headers['seal'] !== undefined,
    isTransformed: headers['content-encoding'] !== undefined,
    statement: {
      isLeaving: headers['leaving'] !== undefined,
      ...(status === 503 && headers['retry-after'] !== undefined
        ? {pauseMs: Number(headers['retry-after']) * 1000}
        : {}),
      ...(headers['limit'] === undefined
        ? {}
        : {
            limit: {
              type: LimitStatementType.RATE,
              requestsPerSecond: Number(headers['limit']),
            },
          }),
    },
  }),
};
