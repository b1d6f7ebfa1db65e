/** Polls the load that engines report about themselves. */
import {request} from 'undici';
import type {BackendServer} from '@buckthornbeam/config';

/** A load report of one engine; it may be seconds old. */
export interface LoadReport {
  running: number;
  waiting: number;
  /** Requests that were finished since the engine's start. */
  completed: number;
  /** Differs after every start; empty where the engine does not tell. */
  incarnation: string;
}

/** Options of {@link createLoadReports}. */
export interface LoadReportsOptions {
  /** Time between two reports of one engine, in milliseconds. */
  periodMs: number;
  listServers: () => BackendServer[];
  onReport: (server: BackendServer, report: LoadReport) => void;
}

/** The polling of load reports. */
export interface LoadReports {
  start(): void;
  stop(): void;
  /** Fetches the report of one server at once. */
  fetchReport(server: BackendServer): Promise<void>;
}

function parseReport(value: unknown): LoadReport {
  const fields = value as Record<string, unknown>;
  return {
    running: Number(fields['running'] ?? 0),
    waiting: Number(fields['waiting'] ?? 0),
    completed: Number(fields['completed'] ?? 0),
    incarnation: String(fields['startedAt'] ?? ''),
  };
}

/** Creates polling that has not started. */
export function createLoadReports(options: LoadReportsOptions): LoadReports {
  const {periodMs, listServers, onReport} = options;
  const polling = new Set<string>();
  let timer: NodeJS.Timeout | undefined;

  async function fetchReport(server: BackendServer): Promise<void> {
    if (polling.has(server.id)) {
      return;
    }
    polling.add(server.id);
    try {
      const response = await request(`http://${server.address}/load`, {
        headersTimeout: periodMs,
        bodyTimeout: periodMs,
      });
      if (response.statusCode === 200) {
        onReport(server, parseReport(await response.body.json()));
      } else {
        await response.body.dump();
      }
    } catch {
      // A missing report is no proof of a failure: answers tell.
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
