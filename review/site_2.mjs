/** The parts of a small deployment after the sheet of the site anca-pat. */
import {findListen, buildSettings, startGateway} from './gateway_2.mjs';
import {startServer} from './server_2.mjs';

export const ROUTE_HOST = 'anca.example';
export const ZONES = ['tn-north-a', 'tn-north-b', 'tn-north-c', 'tn-north-d'];
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const POOL = 'sabra-llm';
export const REGISTRY = 'registre';

const ENGINE = {
  slots: 64,
  'kv-capacity-tokens': 513595,
  'kv-token-bytes': 18432,
  'link-mbps': 740000,
  stride: 7,
  models: [{name: 'm'}],
};

const COMMON = {host: ROUTE_HOST, public: false};

/** The routes and services of the sheet. */
export function buildConfiguration(version = 1, changes = {}) {
  return {
    version,
    routes: [
      {
        ...COMMON,
        name: 'inspector-query',
        'path-prefix': '/inspector/',
        kind: 'streaming',
        'timeout-ms': 8000,
        'target-latency-ms': 500,
        'gap-aim-ms': 400,
        priority: 0,
        service: POOL,
        'max-attempts': 1,
        sticky: true,
        resumable: false,
      },
      {
        ...COMMON,
        name: 'cert-issue',
        'path-prefix': '/cert/',
        kind: 'unsafe',
        'timeout-ms': 1000,
        'target-latency-ms': 193,
        priority: 2,
        service: REGISTRY,
        'max-attempts': 1,
      },
      {
        ...COMMON,
        name: 'log-lookup',
        'path-prefix': '/log/',
        kind: 'safe',
        'timeout-ms': 1000,
        'target-latency-ms': 193,
        priority: 2,
        service: REGISTRY,
        'max-attempts': 2,
      },
    ],
    services: [
      {
        name: POOL,
        'health-path': '/health',
        'max-connections': 370,
        'cold-s': 3,
        'cold-per-s': 6.6,
        engine: ENGINE,
      },
      {
        name: REGISTRY,
        'health-path': '/health',
        'max-connections': 110,
        'cold-s': 0,
        'cold-per-s': 0,
      },
    ],
    limits: {
      'max-header-bytes': 16384,
      'max-body-bytes': 4194304,
      'header-timeout-ms': 3000,
      'idle-timeout-ms': 15000,
    },
    tenants: [{name: 'hule930', 'api-keys': [KEY], priority: 1}],
    ...changes,
  };
}

/** Starts servers of a service, and registers them in the store. */
export async function startServers(
  {record, onEnd},
  store,
  {service, zones, slots, host = '127.0.0.1', ...behaviour},
) {
  const servers = [];
  for (const [index, zone] of zones.entries()) {
    const server = await startServer({
      id: `i-${service}-${index}`,
      host,
      service,
      zone,
      slots,
      record,
      ...behaviour,
    });
    onEnd(() => server.close());
    store.put(`servers/${server.id}`, server.buildEntry());
    servers.push(server);
  }
  return servers;
}

/** Finds the addresses of gateways, one for each zone named; the first are the seeds. */
export async function planGateways(zones) {
  const plans = [];
  for (const [index, zone] of zones.entries()) {
    const host = `127.0.0.${11 + index}`;
    plans.push({
      name: `front-${zone}-${index + 1}`,
      zone,
      listen: await findListen(host),
    });
  }
  return plans;
}

export function startPlanned(
  {record, folder, onEnd},
  plan,
  plans,
  storeAddress,
  onLine,
) {
  const gateway = startGateway({
    settings: buildSettings({
      ...plan,
      zones: ZONES,
      seeds: plans.slice(0, 3).map(({listen}) => listen.peers),
      storeAddress,
      isFirstStart: true,
    }),
    folder,
    record,
    onLine,
  });
  onEnd(() => gateway.end());
  return gateway;
}
