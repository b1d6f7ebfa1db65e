/** Metrics, sent as StatsD datagrams. */
import {StatsD} from 'hot-shots';

export type MetricTags = Record<string, string>;

export interface Metrics {
  count(name: string, value?: number, tags?: MetricTags): void;
  gauge(name: string, value: number, tags?: MetricTags): void;
  timing(name: string, ms: number, tags?: MetricTags): void;
  /** Flushes the buffer and closes the socket. */
  close(): Promise<void>;
}

/** Options of {@link createMetrics}. */
export interface MetricsOptions {
  /** `host:port` of the StatsD daemon; without it, metrics are dropped. */
  address?: string;
  globalTags?: MetricTags;
}

const METRIC_PREFIX = 'buckthornbeam.';

/** Creates a metrics client on top of hot-shots. */
export function createMetrics(options: MetricsOptions = {}): Metrics {
  const [host = '127.0.0.1', port = '8125'] = (options.address ?? '').split(
    ':',
  );
  const client = new StatsD({
    host,
    port: Number(port),
    prefix: METRIC_PREFIX,
    mock: options.address === undefined,
    maxBufferSize: 1400,
    ...(options.globalTags ? {globalTags: options.globalTags} : {}),
    // Metrics may be lost: a send error must not affect requests.
    errorHandler: () => undefined,
  });
  // A mock client keeps every message in memory, so nothing is passed to it.
  const isMock = options.address === undefined;
  return {
    count: (name, value = 1, tags = {}) => {
      if (!isMock) client.increment(name, value, tags);
    },
    gauge: (name, value, tags = {}) => {
      if (!isMock) client.gauge(name, value, tags);
    },
    timing: (name, ms, tags = {}) => {
      if (!isMock) client.timing(name, ms, tags);
    },
    close: () =>
      new Promise(resolve => {
        client.close(() => resolve());
      }),
  };
}
