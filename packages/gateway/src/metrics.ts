/** Metrics of a gateway in the Prometheus text format. */
import type {StatementChange} from '@buckthornbeam/decisions';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

export interface GatewayMetrics {
  /** Counts a finished request; `code` is `ok` or an error code. */
  countRequest(route: string, status: number, code: string): void;
  observeFirstByte(route: string, ms: number): void;
  observeDuration(route: string, ms: number): void;
  /** Counts an attempt at a backend server by how it ended. */
  countAttempt(reason: string): void;
  /** Counts a request sent elsewhere for a limit or a pause that a server stated. */
  countDiverted(): void;
  /** Observes the age of the load reports by which a server was chosen. */
  observeLoadAge(ms: number): void;
  /** Observes the mean error of earlier reports, in requests at a server. */
  observeLoadError(requests: number): void;
  /** Counts a request refused since its customer was over its share. */
  countShareRefusal(customer: string): void;
  /** Counts a wait for a server by urgency. */
  countWait(reason: string, isServed: boolean): void;
  countConnection(): void;
  /** Counts a read of the store by its result. */
  countStoreRead(isSuccess: boolean): void;
  /** Counts a change of what a server states in its answers. */
  countStatement(change: StatementChange): void;
  /** Counts what was refused or closed for a limit of the machine. */
  countLimit(reason: string): void;
  /** Counts a request that a stop ended, by its phase. */
  countInterrupted(phase: string): void;
  /** Renders all metrics in the Prometheus text format. */
  render(): Promise<string>;
}

/** Gauges, read whenever the metrics are rendered. */
export interface MetricsSources {
  countOpenRequests: () => number;
  computeClusterStateAgeMs: () => number;
  getConfigurationVersion: () => number;
  countPeers: () => number;
  countQuarantined: () => number;
  countLimitedServers: () => number;
  /** Absent if faults are not counted. */
  countFaultyServers?: () => number;
  countPausedServers: () => number;
  /** Counts the ranks whose capacity is divided between customers. */
  countScarceRanks?: () => number;
  countWaitingRequests?: () => number;
  getLongestPauseMs: () => number;
  /** Memory of bodies and responses; 0 by default. */
  getHeldBytes?: () => number;
  countCallerConnections?: () => number;
  /** Time since the stop signal; 0 by default. */
  computeStopMs?: () => number;
}

const MS_PER_SECOND = 1000;
/** Covers the range from cached answers to long streams. */
const LATENCY_BUCKETS_S = [
  0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 2.5, 4, 6, 10,
];

/** Covers rounds of gossip, lost ones, and the lifetime of reports. */
const LOAD_AGE_BUCKETS_S = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1, 1.5, 2, 3];
const LOAD_ERROR_BUCKETS = [0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32];

export function createGatewayMetrics(sources: MetricsSources): GatewayMetrics {
  const registry = new Registry();
  const registers = [registry];
  const requests = new Counter({
    name: 'buckthornbeam_requests_total',
    help: 'Requests that ended, by route, status and error code.',
    labelNames: ['route', 'status', 'code'],
    registers,
  });
  const firstByte = new Histogram({
    name: 'buckthornbeam_first_byte_seconds',
    help: 'Time to the first byte of an answer.',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  });
  const duration = new Histogram({
    name: 'buckthornbeam_request_seconds',
    help: 'Time to the end of an answer.',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_S,
    registers,
  });
  const attempts = new Counter({
    name: 'buckthornbeam_attempts_total',
    help: 'Attempts at backend servers, by how they ended.',
    labelNames: ['reason'],
    registers,
  });
  const diverted = new Counter({
    name: 'buckthornbeam_diverted_requests_total',
    help: 'Requests sent elsewhere for a limit or a pause that a server stated.',
    registers,
  });
  const loadAge = new Histogram({
    name: 'buckthornbeam_load_age_seconds',
    help: 'Age of the load reports by which servers were chosen.',
    buckets: LOAD_AGE_BUCKETS_S,
    registers,
  });
  const loadError = new Histogram({
    name: 'buckthornbeam_load_error_requests',
    help: 'Mean difference of the requests at a server between a load report and the next.',
    buckets: LOAD_ERROR_BUCKETS,
    registers,
  });
  const shareRefusals = new Counter({
    name: 'buckthornbeam_share_refusals_total',
    help: 'Requests refused since their customer was over its share, by customer.',
    labelNames: ['customer'],
    registers,
  });
  const waits = new Counter({
    name: 'buckthornbeam_admissions_total',
    help: 'Requests in the order by urgency, by what they waited for and whether they got a server.',
    labelNames: ['reason', 'result'],
    registers,
  });
  const connections = new Counter({
    name: 'buckthornbeam_server_connections_total',
    help: 'Connections opened to backend servers.',
    registers,
  });
  const limits = new Counter({
    name: 'buckthornbeam_limit_refusals_total',
    help: 'Requests and connections refused or closed for a limit of the machine.',
    labelNames: ['reason'],
    registers,
  });
  const interrupted = new Counter({
    name: 'buckthornbeam_interrupted_requests_total',
    help: 'Requests that a stop ended, by how far they were.',
    labelNames: ['phase'],
    registers,
  });
  const storeReads = new Counter({
    name: 'buckthornbeam_store_reads_total',
    help: 'Reads of the store, by result.',
    labelNames: ['result'],
    registers,
  });
  const statements = new Counter({
    name: 'buckthornbeam_server_statements_total',
    help: 'Changes of what servers state in their answers, by kind and change.',
    labelNames: ['statement', 'change'],
    registers,
  });
  const gauges: Array<[string, string, () => number]> = [
    [
      'buckthornbeam_open_requests',
      'Requests under way.',
      sources.countOpenRequests,
    ],
    [
      'buckthornbeam_knowledge_age_seconds',
      'Age of the last confirmation of the configuration.',
      () => sources.computeClusterStateAgeMs() / MS_PER_SECOND,
    ],
    [
      'buckthornbeam_configuration_version',
      'Version of the configuration in force.',
      sources.getConfigurationVersion,
    ],
    [
      'buckthornbeam_held_bytes',
      'Memory of the bodies and responses of open requests.',
      () => sources.getHeldBytes?.() ?? 0,
    ],
    [
      'buckthornbeam_caller_connections',
      'Open connections of callers.',
      () => sources.countCallerConnections?.() ?? 0,
    ],
    [
      'buckthornbeam_stop_seconds',
      'Time since the stop signal; 0 before it.',
      () => (sources.computeStopMs?.() ?? 0) / MS_PER_SECOND,
    ],
    ['buckthornbeam_peers', 'Instances heard of lately.', sources.countPeers],
    [
      'buckthornbeam_quarantined_prompts',
      'Sets of prompt blocks in quarantine.',
      sources.countQuarantined,
    ],
    [
      'buckthornbeam_limited_servers',
      'Servers that state a limit of their request rate.',
      sources.countLimitedServers,
    ],
    [
      'buckthornbeam_faulty_servers',
      'Servers that fail much of the work of all instances.',
      sources.countFaultyServers ?? (() => 0),
    ],
    [
      'buckthornbeam_paused_servers',
      'Servers that asked this instance to be sent nothing for a time.',
      sources.countPausedServers,
    ],
    [
      'buckthornbeam_scarce_ranks',
      'Ranks of services whose capacity is divided between customers.',
      sources.countScarceRanks ?? (() => 0),
    ],
    [
      'buckthornbeam_waiting_requests',
      'Requests that wait for a server by urgency.',
      sources.countWaitingRequests ?? (() => 0),
    ],
    [
      'buckthornbeam_event_loop_pause_seconds',
      'Longest time without a turn of the event loop, in the last one to two minutes.',
      () => sources.getLongestPauseMs() / MS_PER_SECOND,
    ],
  ];
  for (const [name, help, read] of gauges) {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers,
      collect: () => gauge.set(read()),
    });
  }

  return {
    countRequest: (route, status, code) =>
      requests.inc({route, status: String(status), code}),
    observeFirstByte: (route, ms) =>
      firstByte.observe({route}, ms / MS_PER_SECOND),
    observeDuration: (route, ms) =>
      duration.observe({route}, ms / MS_PER_SECOND),
    countAttempt: reason => attempts.inc({reason}),
    countDiverted: () => diverted.inc(),
    observeLoadAge: ms => loadAge.observe(ms / MS_PER_SECOND),
    observeLoadError: requests => loadError.observe(requests),
    countShareRefusal: customer => shareRefusals.inc({customer}),
    countWait: (reason, isServed) =>
      waits.inc({reason, result: isServed ? 'served' : 'refused'}),
    countConnection: () => connections.inc(),
    countStoreRead: isSuccess =>
      storeReads.inc({result: isSuccess ? 'read' : 'failed'}),
    countStatement: ({kind, type}) =>
      statements.inc({statement: kind, change: type}),
    countLimit: reason => limits.inc({reason}),
    countInterrupted: phase => interrupted.inc({phase}),
    render: () => registry.metrics(),
  };
}
