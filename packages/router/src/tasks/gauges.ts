/** Gauges: values that are sent again and again. */
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

/** Sends the gauges. */
export interface Gauges {
  start(): void;
  stop(): void;
}

const PERIOD_MS = 5000;

/** Creates the task that sends the gauges. */
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
    dueAt = clock.now() + PERIOD_MS;
  }

  return {
    start: () => {
      dueAt = clock.now() + PERIOD_MS;
      timer = setInterval(sendGauges, PERIOD_MS);
      timer.unref();
    },
    stop: () => clearInterval(timer),
  };
}
