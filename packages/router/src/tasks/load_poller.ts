/** Polls engines for their load reports. */
import type {BackendServer} from '@buckthornbeam/config';
import type {Logger} from '@buckthornbeam/shared';
import type {EngineClient, LoadReport} from '../engine_client.js';

/** Options of {@link createLoadPoller}. */
export interface LoadPollerOptions {
  /** Polling interval and timeout of a poll, in milliseconds. */
  intervalMs: number;
  engines: EngineClient;
  logger: Logger;
  listServers: () => BackendServer[];
  /** Counts the requests of this instance that are running on a server. */
  countOwnRequests: (serverId: string) => number;
  /**
   * `ownRunning` counts the requests of this instance that the report is
   * certain to include. Requests dispatched during the poll are left out, since
   * the engine may have made its report before they arrived.
   */
  onReport: (
    server: BackendServer,
    report: LoadReport,
    ownRunning: number,
  ) => void;
  /** Called when a poll failed. */
  onMissing: (server: BackendServer) => void;
}

/** Polls all servers at a fixed interval. */
export interface LoadPoller {
  start(): void;
  stop(): void;
  /** Polls one server now, unless a poll of it is already in progress. */
  fetchReport(server: BackendServer): Promise<void>;
}

/** Creates a poller, not yet started. */
export function createLoadPoller(options: LoadPollerOptions): LoadPoller {
  const {intervalMs, listServers, countOwnRequests, engines, logger} = options;
  const polledServerIds = new Set<string>();
  let timer: NodeJS.Timeout | undefined;

  async function fetchReport(server: BackendServer): Promise<void> {
    if (polledServerIds.has(server.id)) {
      return;
    }
    polledServerIds.add(server.id);
    const ownRequestsBefore = countOwnRequests(server.id);
    try {
      const report = await engines.fetchLoad(server.address, intervalMs);
      const ownRunning = Math.min(
        ownRequestsBefore,
        countOwnRequests(server.id),
      );
      options.onReport(server, report, ownRunning);
    } catch (error) {
      // A failed poll does not mark the server as failed; only attempts do.
      const reason = (error as Error).message;
      logger.debug('load_report_missing', {server: server.id, reason});
      options.onMissing(server);
    } finally {
      polledServerIds.delete(server.id);
    }
  }

  return {
    start: () => {
      timer = setInterval(() => {
        listServers().forEach(server => void fetchReport(server));
      }, intervalMs);
      timer.unref();
    },
    stop: () => clearInterval(timer),
    fetchReport,
  };
}
