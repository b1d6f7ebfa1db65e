/**
 * Stand-in for the configuration service: the read side of the Consul HTTP API
 * with blocking queries, a call counter and a rate limit. Tests set its contents
 * with the methods of {@link ConfigurationServiceStandIn}, not over HTTP.
 */
import {H3} from 'h3';
import type {H3Event} from 'h3';
import {serveApp} from './http_server.js';
import type {ListeningServer} from './http_server.js';

export const ConfigurationServiceMode = {
  NORMAL: 'normal',
  /** Answers with the contents as of the switch to this mode. */
  STALE: 'stale',
  /** Answers every call with status 500. */
  DOWN: 'down',
} as const;
export type ConfigurationServiceMode =
  (typeof ConfigurationServiceMode)[keyof typeof ConfigurationServiceMode];

/** An entry of the instance list. */
export interface ListedInstance {
  id: string;
  dataCentre: string;
  callerAddress: string;
  peerAddress: string;
  state: 'live' | 'leaving';
  /** Peer addresses by queried service name, where they differ. */
  peerAddresses?: Record<string, string>;
}

/** Options of {@link startConfigurationService}. */
export interface ConfigurationServiceOptions {
  port?: number;
  /** Rate limit over all clients; further calls get status 429. */
  callsPerSecond?: number;
}

export interface ConfigurationServiceStandIn {
  readonly address: string;
  setFileSet(bundle: string): void;
  setInstances(instances: ListedInstance[]): void;
  setMode(mode: ConfigurationServiceMode): void;
  /** Counts calls since the start; a blocking query counts once. */
  countCalls(): number;
  close(): Promise<void>;
}

interface Versioned<T> {
  value: T;
  index: number;
}

const DEFAULT_CALLS_PER_SECOND = 2000;
const KEY_PATH = '/v1/kv/buckthornbeam/file-set';
const INSTANCES_PATH = '/v1/health/service/:service';

function toHealthEntry(instance: ListedInstance, service: string) {
  const [host = '', port = '0'] = instance.callerAddress.split(':');
  return {
    Service: {
      ID: instance.id,
      Address: host,
      Port: Number(port),
      Meta: {
        dataCentre: instance.dataCentre,
        peerAddress: instance.peerAddresses?.[service] ?? instance.peerAddress,
        state: instance.state,
      },
    },
  };
}

/** Starts a configuration service on loopback. */
export async function startConfigurationService(
  options: ConfigurationServiceOptions = {},
): Promise<ConfigurationServiceStandIn> {
  const {callsPerSecond = DEFAULT_CALLS_PER_SECOND} = options;
  let mode: ConfigurationServiceMode = ConfigurationServiceMode.NORMAL;
  let isClosed = false;
  let lastIndex = 1;
  let calls = 0;
  let rateWindow = {startedAt: 0, calls: 0};
  let currentContents = {
    fileSet: {value: undefined, index: 1} as Versioned<string | undefined>,
    instances: {value: [], index: 1} as Versioned<ListedInstance[]>,
  };
  let staleContents = currentContents;
  const blockedQueries = new Set<() => void>();

  function updateContents(change: Partial<typeof currentContents>): void {
    currentContents = {...currentContents, ...change};
    for (const wake of blockedQueries) {
      wake();
    }
    blockedQueries.clear();
  }

  function isOverRateLimit(): boolean {
    const now = performance.now();
    if (now - rateWindow.startedAt >= 1000) {
      rateWindow = {startedAt: now, calls: 0};
    }
    rateWindow.calls += 1;
    return rateWindow.calls > callsPerSecond;
  }

  async function waitForChange(
    event: H3Event,
    getIndex: () => number,
  ): Promise<void> {
    const query = new URL(event.req.url).searchParams;
    const index = query.get('index');
    if (index === null || Number(index) !== getIndex()) {
      return;
    }
    const waitMs = Number((query.get('wait') ?? '0ms').replace('ms', ''));
    const deadline = performance.now() + waitMs;
    while (
      !isClosed &&
      getIndex() === Number(index) &&
      performance.now() < deadline
    ) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, deadline - performance.now());
        blockedQueries.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  function getContents() {
    return mode === ConfigurationServiceMode.STALE
      ? staleContents
      : currentContents;
  }

  async function answerRead<T>(
    event: H3Event,
    read: () => Versioned<T>,
    toJson: (value: T) => unknown,
  ): Promise<Response> {
    calls += 1;
    if (isOverRateLimit()) {
      return new Response('rate limit', {status: 429});
    }
    if (mode !== ConfigurationServiceMode.DOWN) {
      await waitForChange(event, () => read().index);
    }
    if (mode === ConfigurationServiceMode.DOWN) {
      return new Response('no leader', {status: 500});
    }
    const {value, index} = read();
    const json = toJson(value);
    return Response.json(json ?? [], {
      status: json === undefined ? 404 : 200,
      headers: {'x-consul-index': String(index)},
    });
  }

  const app = new H3({silent: true});
  app.get(KEY_PATH, event =>
    answerRead(
      event,
      () => getContents().fileSet,
      value =>
        value === undefined
          ? undefined
          : [{Value: Buffer.from(value).toString('base64')}],
    ),
  );
  app.get(INSTANCES_PATH, event =>
    answerRead(
      event,
      () => getContents().instances,
      value =>
        value.map(instance =>
          toHealthEntry(instance, event.context.params!['service']!),
        ),
    ),
  );

  const server: ListeningServer = await serveApp(app, options.port);
  return {
    address: server.address,
    setFileSet: value => {
      lastIndex += 1;
      updateContents({fileSet: {value, index: lastIndex}});
    },
    setInstances: value => {
      lastIndex += 1;
      updateContents({instances: {value, index: lastIndex}});
    },
    setMode: next => {
      if (
        next === ConfigurationServiceMode.STALE &&
        mode !== ConfigurationServiceMode.STALE
      ) {
        staleContents = currentContents;
      }
      mode = next;
      updateContents({});
    },
    countCalls: () => calls,
    close: () => {
      isClosed = true;
      updateContents({});
      return server.close();
    },
  };
}
