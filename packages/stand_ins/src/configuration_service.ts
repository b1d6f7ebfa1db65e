/**
 * Stand-in for the platform: the read side of the Consul HTTP API with
 * blocking queries, a count of calls and a rate limit. Tests set its contents
 * through `/control`, which the router never calls.
 */
import {H3} from 'h3';
import type {H3Event} from 'h3';
import {serveApp} from './http_server.js';
import type {ListeningServer} from './http_server.js';

/** How the platform answers. */
export const PlatformMode = {
  NORMAL: 'normal',
  /** Answers with the values of the time at which the mode was set. */
  STALE: 'stale',
  /** Answers every call with 500. */
  DOWN: 'down',
} as const;
export type PlatformMode = (typeof PlatformMode)[keyof typeof PlatformMode];

/** An instance as the list shows it. */
export interface PlatformInstance {
  id: string;
  dataCentre: string;
  callerAddress: string;
  peerAddress: string;
  state: 'live' | 'leaving';
  /** Peer address by the service name that is read, where it differs. */
  peerAddresses?: Record<string, string>;
}

/** Options of {@link startPlatform}. */
export interface PlatformOptions {
  port?: number;
  /** Calls a second over all readers; further calls get 429. */
  callsPerSecond?: number;
}

/** A running platform stand-in. */
export interface Platform {
  readonly address: string;
  setFileSet(bundle: string): void;
  setInstances(instances: PlatformInstance[]): void;
  setMode(mode: PlatformMode): void;
  /** Calls since the start; a waiting watch counts once. */
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

function toHealthEntry(instance: PlatformInstance, service: string) {
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

/** Starts a platform stand-in on loopback. */
export async function startPlatform(
  options: PlatformOptions = {},
): Promise<Platform> {
  const {callsPerSecond = DEFAULT_CALLS_PER_SECOND} = options;
  let mode: PlatformMode = PlatformMode.NORMAL;
  let isClosed = false;
  let lastIndex = 1;
  let calls = 0;
  let window = {startedAt: 0, calls: 0};
  let current = {
    fileSet: {value: undefined, index: 1} as Versioned<string | undefined>,
    instances: {value: [], index: 1} as Versioned<PlatformInstance[]>,
  };
  let stale = current;
  const waiters = new Set<() => void>();

  function updateContents(change: Partial<typeof current>): void {
    current = {...current, ...change};
    for (const wake of waiters) {
      wake();
    }
    waiters.clear();
  }

  function isOverRate(): boolean {
    const now = performance.now();
    if (now - window.startedAt >= 1000) {
      window = {startedAt: now, calls: 0};
    }
    window.calls += 1;
    return window.calls > callsPerSecond;
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
    const endsAt = performance.now() + waitMs;
    while (
      !isClosed &&
      getIndex() === Number(index) &&
      performance.now() < endsAt
    ) {
      await new Promise<void>(resolve => {
        const timer = setTimeout(resolve, endsAt - performance.now());
        waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
  }

  function getContents() {
    return mode === PlatformMode.STALE ? stale : current;
  }

  async function answerRead<T>(
    event: H3Event,
    read: () => Versioned<T>,
    toJson: (value: T) => unknown,
  ): Promise<Response> {
    calls += 1;
    if (isOverRate()) {
      return new Response('rate limit', {status: 429});
    }
    if (mode !== PlatformMode.DOWN) {
      await waitForChange(event, () => read().index);
    }
    if (mode === PlatformMode.DOWN) {
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
      if (next === PlatformMode.STALE && mode !== PlatformMode.STALE) {
        stale = current;
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
