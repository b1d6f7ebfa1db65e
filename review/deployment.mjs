/** A small deployment of plain services: store, servers and gateways. */
import {startGateways} from './gateway.mjs';
import {startStore} from './platform.mjs';
import {startServer} from './servers.mjs';
import {waitUntil} from './run_case.mjs';

export const HOST = 'registre.example';

/** Configuration with the routes of two services; timeouts as on the page of the site. */
export function buildConfiguration({version, tenants}) {
  const route = {
    host: HOST,
    service: 'registre',
    'timeout-ms': 1000,
    'target-latency-ms': 193,
    priority: 2,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: 'log-lookup',
        'path-prefix': '/logs/',
        kind: 'safe',
        'max-attempts': 2,
      },
      {
        ...route,
        name: 'cert-issue',
        'path-prefix': '/certs/',
        kind: 'unsafe',
        'max-attempts': 1,
      },
      {
        ...route,
        name: 'inspector-query',
        service: 'sabra-llm',
        'path-prefix': '/queries/',
        kind: 'streaming',
        'timeout-ms': 8000,
        'target-latency-ms': 500,
        'gap-aim-ms': 400,
        'max-attempts': 1,
      },
    ],
    services: [
      {name: 'registre', 'health-path': '/health', 'max-connections': 110},
      {name: 'sabra-llm', 'health-path': '/health', 'max-connections': 370},
    ],
    limits: {
      'max-header-bytes': 16_384,
      'max-body-bytes': 4_194_304,
      'header-timeout-ms': 5000,
      'idle-timeout-ms': 15_000,
    },
    tenants,
  };
}

/** Whether the platform's own check finds the gateway ready. */
export async function isReady({ready}) {
  try {
    const response = await fetch(`http://127.0.0.1:${ready}/ready`);
    return response.status === 200;
  } catch {
    return false;
  }
}

/** Starts everything and waits until all gateways are ready. */
export async function startDeployment({
  folder,
  started,
  write,
  gatewayNames,
  serverIds,
  tenants,
  answer,
  startOthers = async () => [],
}) {
  const runs = [];
  const recordRun = run => {
    runs.push(run);
    write('run', run);
  };
  const store = await startStore();
  started.push(store);
  const servers = [];
  for (const id of serverIds) {
    const server = await startServer({
      id,
      service: 'registre',
      answer,
      onRun: recordRun,
    });
    started.push(server);
    servers.push(server);
    store.put(`servers/${id}`, server.entry);
  }
  for (const server of await startOthers(recordRun)) {
    started.push(server);
    store.put(`servers/${server.id}`, server.entry);
  }
  store.put('op/config', buildConfiguration({version: 3, tenants}));
  const gateways = await startGateways({
    names: gatewayNames,
    storeAddress: store.address,
    folder,
  });
  started.push(...gateways);
  for (const gateway of gateways) {
    await waitUntil(() => isReady(gateway), 15_000, `${gateway.name} ready`);
  }
  write('ready', {gateways: gatewayNames, servers: serverIds});
  return {runs, store, servers, gateways};
}
