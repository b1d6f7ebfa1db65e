/** Gauge metrics, reported periodically. */
import type {Clock, Metrics} from '@buckthornbeam/shared';
import type {Member} from './member.js';
import type {Owner} from './owner.js';

/** Options of {@link createGauges}. */
export interface GaugesOptions {
  clock: Clock;
  metrics: Metrics;
  member: Member;
  owner: Owner;
}

/** Reports the gauges periodically. */
export interface Gauges {
  start(): void;
  stop(): void;
}

const REPORT_INTERVAL_MS = 5000;

/** Creates the gauge task, not yet started. */
export function createGauges(options: GaugesOptions): Gauges {
  const {clock, metrics, member, owner} = options;
  let timer: NodeJS.Timeout | undefined;
  let dueAt = 0;

  function sendGauges(): void {
    for (const load of owner.listLoads()) {
      const tags = {server: load.serverId};
      metrics.gauge('server.in_flight', load.inFlight, tags);
      metrics.gauge('server.limit', load.limit, tags);
      metrics.gauge('server.queued', load.queued, tags);
    }
    const peers = member.listPeers();
    const ready = peers.filter(peer => peer.ready).length;
    metrics.gauge('peers.known', peers.length);
    metrics.gauge('peers.ready', ready);
    metrics.gauge('memory.bytes', process.memoryUsage.rss());
    metrics.timing('timer_delay_ms', Math.max(0, clock.now() - dueAt));
    dueAt = clock.now() + REPORT_INTERVAL_MS;
  }

  return {
    start: () => {
      dueAt = clock.now() + REPORT_INTERVAL_MS;
      timer = setInterval(sendGauges, REPORT_INTERVAL_MS);
      timer.unref();
    },
    stop: () => clearInterval(timer),
  };
}
