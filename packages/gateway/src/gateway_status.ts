/** Wires up the servers for peers, readiness, addresses, metrics and the quarantine. */
import type {PromptQuarantine} from '@buckthornbeam/decisions';
import {pickSample} from '@buckthornbeam/shared';
import type {Clock} from '@buckthornbeam/shared';
import {createQuarantineHandler} from './http/quarantine_handler.js';
import {createStatusHandlers} from './http/status_handlers.js';
import {createStatusServers} from './http/status_server.js';
import type {StatusServers} from './http/status_server.js';
import type {LimitReports} from './memory/limit_reports.js';
import type {ConnectionLimits} from './memory/machine_limits.js';
import type {MemoryBudget} from './memory/memory_budget.js';
import type {GatewayMetrics} from './metrics.js';
import type {GossipTask} from './peers/gossip_task.js';
import type {CallerDialect} from './ports.js';
import type {GatewaySettings} from './settings.js';
import type {ClusterState} from './state/cluster_state.js';

/** Options of {@link createGatewayStatus}. */
export interface GatewayStatusOptions {
  settings: GatewaySettings;
  dialect: CallerDialect;
  clusterState: ClusterState;
  metrics: GatewayMetrics;
  quarantine: PromptQuarantine;
  listAlive: GossipTask['table']['listAlive'];
  isReady: () => boolean;
  limits: ConnectionLimits;
  memory: MemoryBudget;
  reports: LimitReports;
  /** Closes idle connections of callers for a further one; returns the free number. */
  makeRoom: () => number;
  clock: Clock;
}

/** TTL of resolved addresses; short, so that callers pick up changes quickly. */
const ADDRESS_TTL_S = 2;
/** Callers use at most this many addresses. */
const MAXIMUM_ADDRESSES = 64;

export function createGatewayStatus({
  settings,
  dialect,
  clusterState,
  metrics,
  quarantine,
  listAlive,
  isReady,
  limits,
  memory,
  reports,
  makeRoom,
  clock,
}: GatewayStatusOptions): StatusServers {
  /** Lists ready instances, and this one if it is ready or the only candidate. */
  function listAddresses(): string[] {
    const addresses = listAlive(clock.now())
      .filter(({record}) => record.isReady && !record.isLeaving)
      .map(({record}) => record.callerAddress);
    if (isReady() || addresses.length === 0) {
      addresses.push(settings.listen.callers);
    }
    return pickSample(addresses, MAXIMUM_ADDRESSES);
  }

  const handlers = createStatusHandlers({
    dialect,
    clusterState,
    metrics,
    clock,
    isReady,
    listAddresses,
    addressTtlS: Math.min(ADDRESS_TTL_S, settings.addresses.maximumTtlS),
  });

  const {listen} = settings;
  const {peerConnections, statusConnections} = limits;
  return createStatusServers(
    [
      {
        address: listen.readiness,
        handler: handlers.answerReadiness,
        maximumConnections: statusConnections,
      },
      {
        address: listen.addresses,
        handler: handlers.answerAddresses,
        maximumConnections: statusConnections,
      },
      {
        address: listen.peers,
        handler: handlers.answerClusterState,
        maximumConnections: peerConnections,
      },
      ...(listen.metrics
        ? [
            {
              address: listen.metrics,
              handler: handlers.answerMetrics,
              maximumConnections: statusConnections,
            },
            {
              address: listen.metrics,
              handler: createQuarantineHandler({quarantine, clock}),
              maximumConnections: 0,
            },
          ]
        : []),
    ],
    {memory, reports, makeRoom},
  );
}
