/** Two gateways on loopback before model servers that a block of prompts ends. */
import {request as startRequest} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createGateway} from '../src/gateway.js';
import type {Gateway} from '../src/gateway.js';
import {RouteKind} from '../src/model.js';
import type {ServiceConfiguration} from '../src/model.js';
import type {CallerDialect, StoreReader, StoreSnapshot} from '../src/ports.js';
import {parseGatewaySettings} from '../src/settings.js';
import {HOST, startEngine} from './support/engine_stand_ins.js';
import {
  createConfiguration,
  createRoute,
  createServerEntry,
  silentLogger,
  testDialect,
} from './support/fixtures.js';

const INSTANCES = 2;
const SERVERS = 12;
/** Crashes that callers of other requests have to bear at most. */
const MAXIMUM_CRASHES = 5;
const DEADLY_REQUESTS = 10;
const DEADLY_BLOCK = 'deadly';
/** Longer than news take from one instance to the other. */
const INTERVAL_MS = 700;
const DEADLINE_MS = 2000;

const callerDialect: CallerDialect = {
  readRequest: (url, headers) => ({
    id: headers[headers.indexOf('id') + 1]!,
    host: 'host',
    path: url,
    deadlineMs: DEADLINE_MS,
    apiKey: undefined,
    lastEventId: undefined,
    generation: {
      model: 'model',
      promptTokens: 300,
      maximumOutputTokens: 10,
      expectedOutputTokens: 10,
      blocks: headers[headers.indexOf('blocks') + 1]!.split(',').map(id => ({
        id,
        tokens: 100,
      })),
    },
  }),
  isAddressQuery: () => false,
  encodeAddresses: () => '',
  readinessPath: '/ready',
};

async function findPort(): Promise<number> {
  const server = createTcpServer();
  await new Promise<void>(resolve => server.listen(0, HOST, () => resolve()));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return port;
}

function createStore(
  configuration: ServiceConfiguration,
  snapshot: StoreSnapshot,
): StoreReader {
  return {
    fetchAll: async () => snapshot,
    watchChanges: async (revision, waitMs, signal) => {
      await waitFor(waitMs, signal);
      return {revision, changes: [], isFull: false};
    },
    decodeConfiguration: () => configuration,
    close: () => undefined,
  };
}

interface Answer {
  status: number;
  body: string;
  retryAfter: string | undefined;
  isComplete: boolean;
}

function sendRequest(port: number, id: string, blocks: string) {
  return new Promise<Answer>(resolve => {
    const outgoing = startRequest(
      {host: HOST, port, path: '/a/', method: 'POST', agent: false},
      incoming => {
        let body = '';
        incoming.on('data', bytes => (body += bytes));
        incoming.on('error', () => undefined);
        incoming.on('close', () =>
          resolve({
            status: incoming.statusCode ?? 0,
            body,
            retryAfter: incoming.headers['retry-after'],
            isComplete: incoming.complete,
          }),
        );
      },
    );
    outgoing.on('error', () =>
      resolve({status: 0, body: '', retryAfter: undefined, isComplete: false}),
    );
    outgoing.setHeader('id', id);
    outgoing.setHeader('blocks', blocks);
    outgoing.end();
  });
}

async function startFleet() {
  const engines = await Promise.all(
    Array.from({length: SERVERS}, (_, index) =>
      startEngine({id: `s${index}`, deadlyBlock: DEADLY_BLOCK}),
    ),
  );
  const configuration = createConfiguration({
    routes: [
      createRoute({
        kind: RouteKind.STREAM,
        maximumServers: 1,
        isPublic: true,
        targetLatencyMs: 500,
      }),
    ],
    services: new Map([
      [
        'service',
        {
          name: 'service',
          maximumConnections: 100,
          coldMs: 0,
          coldRequestsPerSecond: 0,
          engine: {
            slots: 16,
            kvCacheTokens: 100_000,
            copiedTokensPerMs: 0,
            tokensPerEvent: 5,
          },
        },
      ],
    ]),
  });
  const snapshot: StoreSnapshot = {
    revision: 1,
    isFull: true,
    changes: [
      {type: 'configuration', configuration, text: 'text'},
      ...engines.map(
        ({id, address}) =>
          ({
            type: 'server',
            server: createServerEntry({id, address, slots: 16}),
          }) as const,
      ),
    ],
  };
  const ports: number[][] = [];
  for (let index = 0; index < INSTANCES; index++) {
    ports.push([await findPort(), await findPort(), await findPort()]);
  }
  const gateways: Gateway[] = ports.map(([callers, status, peers], index) =>
    createGateway({
      settings: parseGatewaySettings(
        JSON.stringify({
          instanceId: `instance-${index}`,
          dataCentre: 'north',
          regions: {north: 'region'},
          listen: {
            callers: `${HOST}:${callers}`,
            readiness: `${HOST}:${status}`,
            addresses: `${HOST}:${status}`,
            peers: `${HOST}:${peers}`,
          },
          seeds: ports.map(item => `${HOST}:${item[2]}`),
          isFirstStart: true,
          store: {address: `${HOST}:1`},
          stop: {graceMs: 0},
        }),
      ),
      store: createStore(configuration, snapshot),
      callers: callerDialect,
      servers: {
        ...testDialect,
        buildHeaders: received => [...received],
      },
      logger: silentLogger,
    }),
  );
  await Promise.all(gateways.map(gateway => gateway.start()));
  return {engines, gateways, callerPorts: ports.map(item => item[0]!)};
}

describe('a prompt block that ends servers', () => {
  // BUDGET: requests with one block ended back ends one after the other.
  it('is refused at all instances after a few servers, and requests that share its other blocks are answered', async () => {
    const {engines, gateways, callerPorts} = await startFleet();
    await waitFor(INTERVAL_MS);
    const deadly: Answer[] = [];
    const sound: Answer[] = [];
    for (let index = 0; index < DEADLY_REQUESTS; index++) {
      const port = callerPorts[index % INSTANCES]!;
      deadly.push(
        await sendRequest(
          port,
          `d${index}`,
          `common,${DEADLY_BLOCK},own-${index}`,
        ),
      );
      await waitFor(INTERVAL_MS);
      for (const soundPort of callerPorts) {
        const id = `s${sound.length}`;
        sound.push(await sendRequest(soundPort, id, `common,sound,own-${id}`));
      }
    }
    const ended = engines.filter(engine => engine.isEnded).length;
    await Promise.all(gateways.map(gateway => gateway.stop()));
    engines.forEach(engine => engine.close());
    assert.ok(ended <= MAXIMUM_CRASHES, `${ended} servers ended`);
    assert.is(
      sound.filter(({status, isComplete}) => status === 200 && isComplete)
        .length,
      sound.length,
    );
    const last = deadly.at(-1)!;
    assert.ok(last.status >= 500, `status ${last.status}`);
    assert.is(JSON.parse(last.body).error.outcome, 'not_run');
    assert.is(last.retryAfter, undefined);
  });
});
