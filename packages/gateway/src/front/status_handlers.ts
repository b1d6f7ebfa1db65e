/** What an instance answers beside the callers' port. */
import type {Clock} from '@buckthornbeam/shared';
import type {GatewayMetrics} from '../metrics.js';
import {parseKnowledgePath} from '../peers/knowledge_exchange.js';
import type {CallerDialect} from '../ports.js';
import type {Knowledge} from '../state/cluster_state.js';
import type {StatusAnswer, StatusHandler} from './status_server.js';

/** Options of {@link createStatusHandlers}. */
export interface StatusHandlersOptions {
  dialect: CallerDialect;
  knowledge: Knowledge;
  metrics: GatewayMetrics;
  clock: Clock;
  isReady: () => boolean;
  /** Callers' addresses of the instances to use. */
  listAddresses: () => string[];
  /** How long callers keep the addresses, in seconds. */
  addressTtlS: number;
}

/** One handler for each kind of question. */
export interface StatusHandlers {
  answerReadiness: StatusHandler;
  answerAddresses: StatusHandler;
  answerKnowledge: StatusHandler;
  answerMetrics: StatusHandler;
}

const METRICS_PATH = '/metrics';

/** Creates the handlers. */
export function createStatusHandlers(
  options: StatusHandlersOptions,
): StatusHandlers {
  const {dialect, knowledge, metrics, clock} = options;

  function buildKnowledgeAnswer(readerVersion: number): StatusAnswer {
    const snapshot = knowledge.buildSnapshot(readerVersion, clock.now());
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
    answerKnowledge: url => {
      const readerVersion = parseKnowledgePath(url);
      return readerVersion === undefined
        ? undefined
        : buildKnowledgeAnswer(readerVersion);
    },
    answerMetrics: url => (url === METRICS_PATH ? renderMetrics() : undefined),
  };
}
