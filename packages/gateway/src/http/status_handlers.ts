/** Handlers for readiness, instance addresses, cluster state and metrics. */
import type {Clock} from '@buckthornbeam/shared';
import type {GatewayMetrics} from '../metrics.js';
import {parseClusterStatePath} from '../peers/cluster_state_exchange.js';
import type {CallerDialect} from '../ports.js';
import type {ClusterState, SnapshotRequest} from '../state/cluster_state.js';
import type {StatusAnswer, StatusHandler} from './status_server.js';

export interface StatusHandlersOptions {
  dialect: CallerDialect;
  clusterState: ClusterState;
  metrics: GatewayMetrics;
  clock: Clock;
  isReady: () => boolean;
  /** Addresses of the instances that callers should use, `host:port`. */
  listAddresses: () => string[];
  addressTtlS: number;
}

export interface StatusHandlers {
  answerReadiness: StatusHandler;
  answerAddresses: StatusHandler;
  answerClusterState: StatusHandler;
  answerMetrics: StatusHandler;
}

const METRICS_PATH = '/metrics';

export function createStatusHandlers(
  options: StatusHandlersOptions,
): StatusHandlers {
  const {dialect, clusterState, metrics, clock} = options;

  function buildClusterStateAnswer(request: SnapshotRequest): StatusAnswer {
    const snapshot = clusterState.buildSnapshot(request, clock.now());
    return snapshot
      ? {status: 200, body: JSON.stringify(snapshot)}
      : {status: 503};
  }

  async function renderMetrics(): Promise<StatusAnswer> {
    const body = await metrics.render();
    return {status: 200, contentType: 'text/plain', body};
  }

  return {
    answerReadiness: url =>
      url.split('?')[0] === dialect.readinessPath
        ? {status: options.isReady() ? 200 : 503}
        : undefined,
    answerAddresses: url =>
      dialect.isAddressQuery(url)
        ? {
            status: 200,
            body: dialect.encodeAddresses(
              options.listAddresses(),
              options.addressTtlS,
            ),
          }
        : undefined,
    answerClusterState: url => {
      const request = parseClusterStatePath(url);
      return request && buildClusterStateAnswer(request);
    },
    answerMetrics: url => (url === METRICS_PATH ? renderMetrics() : undefined),
  };
}
