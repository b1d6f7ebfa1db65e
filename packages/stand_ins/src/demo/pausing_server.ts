/** A gateway before two servers, one of which asks to be sent nothing for a time. */
import {createServer} from 'node:http';
import type {Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
  RouteKind,
  createGateway,
  parseGatewaySettings,
  readPauseMs,
} from '@buckthornbeam/gateway';
import type {
  BackendServer,
  CallerDialect,
  Gateway,
  ServerDialect,
  ServiceConfiguration,
  StoreReader,
} from '@buckthornbeam/gateway';
import {LogLevel, createLogger, waitFor} from '@buckthornbeam/shared';
import {request} from 'undici';

/** What the callers and the server that asks for a pause saw. */
export interface PauseResult {
  /** Requests that the server got before it asked. */
  before: number;
  /** Requests that it got from half a second after it asked to the end of the time. */
  inPause: number;
  /** Requests that it got after that time. */
  after: number;
  /** Requests that were not answered with status 200. */
  failed: number;
}

const HOST = '127.0.0.1';
const BEFORE_MS = 300;
const PAUSE_MS = 1500;
/** Covers the trial and the answers that follow it. */
const AFTER_MS = 1200;
const NOTICE_MS = 500;
const CALLERS = 4;
const READY_POLL_MS = 50;

const configuration: ServiceConfiguration = {
  version: 1,
  routes: [
    {
      name: 'demo',
      host: HOST,
      pathPrefix: '/',
      kind: RouteKind.SAFE,
      targets: [{serviceName: 'demo', weight: 1}],
      timeoutMs: 2000,
      targetLatencyMs: 200,
      eventPauseMs: undefined,
      priority: 0,
      maximumServers: 2,
      isPublic: true,
      isResumable: false,
      allowedRegions: [],
    },
  ],
  services: new Map([
    [
      'demo',
      {
        name: 'demo',
        maximumConnections: 100,
        coldMs: 0,
        coldRequestsPerSecond: 0,
        engine: undefined,
      },
    ],
  ]),
  customersByKey: undefined,
  limits: {
    maximumHeaderBytes: 16_384,
    maximumBodyBytes: 1_000_000,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
};

const callerDialect: CallerDialect = {
  readRequest: (url, headers) => ({
    id: headers[headers.indexOf('id') + 1]!,
    host: HOST,
    path: url,
    deadlineMs: undefined,
    apiKey: undefined,
    lastEventId: undefined,
    generation: undefined,
  }),
  isAddressQuery: () => false,
  encodeAddresses: () => '',
  readinessPath: '/ready',
};

const serverDialect: ServerDialect = {
  buildHeaders: received => [...received],
  readAnswer: (status, headers) => ({
    requestId: headers['id'] as string | undefined,
    isNotRun: status === 503,
    isOtherServer: false,
    isSealed: true,
    isTransformed: false,
    statement: {isLeaving: false, pauseMs: readPauseMs(status, headers)},
  }),
};

async function startListening(server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  return `${HOST}:${(server.address() as AddressInfo).port}`;
}

async function findAddress(): Promise<string> {
  const server = createServer();
  const address = await startListening(server);
  await new Promise(resolve => server.close(resolve));
  return address;
}

function createStoreReader(addresses: readonly string[]): StoreReader {
  const servers = addresses.map(
    (address, index): BackendServer => ({
      id: `server-${index}`,
      serviceName: 'demo',
      address,
      dataCentre: 'demo',
      isDraining: false,
      slots: 16,
      coldLeftMs: 0,
      startedAt: 1,
    }),
  );
  const snapshot = {
    revision: 1,
    isFull: true,
    changes: [
      {type: 'configuration', configuration, text: ''} as const,
      ...servers.map(server => ({type: 'server', server}) as const),
    ],
  };
  return {
    fetchAll: async () => snapshot,
    watchChanges: async (_, waitMs, signal) => {
      await waitFor(waitMs, signal);
      return snapshot;
    },
    decodeConfiguration: () => configuration,
    close: () => undefined,
  };
}

async function createDemoGateway(
  callers: string,
  servers: readonly string[],
): Promise<Gateway> {
  const status = await findAddress();
  const settings = {
    instanceId: 'demo',
    dataCentre: 'demo',
    regions: {demo: 'demo'},
    listen: {
      callers,
      readiness: status,
      addresses: status,
      peers: await findAddress(),
    },
    isFirstStart: true,
    store: {address: `${HOST}:1`},
    stop: {graceMs: 0},
  };
  return createGateway({
    settings: parseGatewaySettings(JSON.stringify(settings)),
    store: createStoreReader(servers),
    callers: callerDialect,
    servers: serverDialect,
    logger: createLogger({level: LogLevel.SILENT}),
  });
}

/** Plays a server that asks once for a pause, under load. */
export async function runPausingServer(): Promise<PauseResult> {
  const arrivals: number[] = [];
  let askedAt: number | undefined;
  let shouldAsk = false;
  const [pausing, sound] = [0, 1].map(index =>
    createServer(({headers}, response) => {
      const answerHeaders = {id: String(headers['id'])};
      if (index === 0) {
        arrivals.push(performance.now());
      }
      if (index === 0 && shouldAsk) {
        shouldAsk = false;
        askedAt = performance.now();
        const seconds = String(PAUSE_MS / 1000);
        response.writeHead(503, {...answerHeaders, 'retry-after': seconds});
      } else {
        response.writeHead(200, answerHeaders);
      }
      response.end();
    }),
  ) as [Server, Server];
  const callers = await findAddress();
  const gateway = await createDemoGateway(callers, [
    await startListening(pausing),
    await startListening(sound),
  ]);
  await gateway.start();
  let sent = 0;

  async function send(): Promise<number> {
    sent += 1;
    const {statusCode, body} = await request(`http://${callers}/`, {
      headers: {id: `r${sent}`},
    });
    await body.dump();
    return statusCode;
  }

  /** Has callers send one request after another; returns how many failed. */
  async function runCallers(forMs: number): Promise<number> {
    const endsAt = performance.now() + forMs;
    let failed = 0;
    async function runCaller(): Promise<void> {
      while (performance.now() < endsAt) {
        failed += (await send()) === 200 ? 0 : 1;
      }
    }
    await Promise.all(Array.from({length: CALLERS}, runCaller));
    return failed;
  }

  try {
    while ((await send()) !== 200) {
      await waitFor(READY_POLL_MS);
    }
    const failedBefore = await runCallers(BEFORE_MS);
    const before = arrivals.length;
    shouldAsk = true;
    const failed = await runCallers(PAUSE_MS + AFTER_MS);
    const endsAt = (askedAt ?? NaN) + PAUSE_MS;
    return {
      before,
      inPause: arrivals
        .filter(at => at >= endsAt - PAUSE_MS + NOTICE_MS)
        .filter(at => at < endsAt).length,
      after: arrivals.filter(at => at >= endsAt).length,
      failed: failedBefore + failed,
    };
  } finally {
    await gateway.stop();
    for (const server of [pausing, sound]) {
      server.close();
      server.closeAllConnections();
    }
  }
}
