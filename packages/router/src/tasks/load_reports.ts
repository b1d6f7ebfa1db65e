/** Polls the load that engines report about themselves. */
import type {BackendServer} from '@buckthornbeam/config';
import type {Logger} from '@buckthornbeam/shared';
import type {EngineClient, LoadReport} from '../engine_client.js';

/** Options of {@link createLoadReports}. */
export interface LoadReportsOptions {
  /** Time between two reports of one engine, in milliseconds. */
  periodMs: number;
  engines: EngineClient;
  logger: Logger;
  listServers: () => BackendServer[];
  /** Requests of this instance that run on a server. */
  countOwn: (serverId: string) => number;
  /**
   * `ownRunning` are requests of this instance that the report counts for sure:
   * what was dispatched while it was fetched may not have arrived before it.
   */
  onReport: (
    server: BackendServer,
    report: LoadReport,
    ownRunning: number,
  ) => void;
  /** The server gave no report. */
  onMissing: (server: BackendServer) => void;
}

/** The polling of load reports. */
export interface LoadReports {
  start(): void;
  stop(): void;
  /** Fetches the report of one server at once. */
  fetchReport(server: BackendServer): Promise<void>;
}

/** Creates polling that has not started. */
export function createLoadReports(options: LoadReportsOptions): LoadReports {
  const {periodMs, listServers, countOwn, engines, logger} = options;
  const polling = new Set<string>();
  let timer: NodeJS.Timeout | undefined;

  async function fetchReport(server: BackendServer): Promise<void> {
    if (polling.has(server.id)) {
      return;
    }
    polling.add(server.id);
    const ownBefore = countOwn(server.id);
    try {
      const report = await engines.fetchLoad(server.address, periodMs);
      const ownRunning = Math.min(ownBefore, countOwn(server.id));
      options.onReport(server, report, ownRunning);
    } catch (error) {
      // A missing report is no proof of a failure: answers tell.
      const reason = (error as Error).message;
      logger.debug('load_report_missing', {server: server.id, reason});
      options.onMissing(server);
    } finally {
      polling.delete(server.id);
    }
  }

  return {
    start: () => {
      timer = setInterval(() => {
        listServers().forEach(server => void fetchReport(server));
      }, periodMs);
      timer.unref();
    },
    stop: () => clearInterval(timer),
    fetchReport,
  };
}
