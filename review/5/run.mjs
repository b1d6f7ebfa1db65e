/**
 * The store is down for some seconds. Over 3 s after its return a server leaves
 * whose entry is removed without a notice. Nothing may reach it 2 s after that;
 * it ends a little later, and what runs on it then is lost.
 */
import {Agent} from 'node:http';
import {sendRequest} from '../caller.mjs';
import {startDeployment} from '../deployment.mjs';
import {HAS_TROUBLE, runCase, waitFor} from '../run_case.mjs';

const KEY = 'key-of-hule930';
/** Bounds and doses of the pages, in milliseconds. */
const DRAIN_MS = 2000;
const CONTACT_MS = 3000;
/** Durations of the store's failures; each is followed by the removal of a server. */
const STORE_DOWN_MS = [3000, 3650, 4000, 3000, 3650];
/** Beyond `contact-ms`, so that the store counts as stable. */
const REMOVAL_DELAY_MS = CONTACT_MS + 100;
/** From the removal to the end of the server: `drain-ms` and a little longer. */
const LINGER_MS = 2400;
const OBSERVED_MS = 4500;
const CALM_MS = 3000;
const REQUEST_INTERVAL_MS = 15;
/** Not a breach: a request that was on its way at the bound. */
const TRANSIT_MS = 50;
const LEAVING = STORE_DOWN_MS.map((_, index) => `leaving-${index}`);
/** As many as in the deployment. */
const GATEWAYS = [1, 2, 3, 4].flatMap(n => [`front-a-${n}`, `front-b-${n}`]);

await runCase(async ({folder, started, write}) => {
  const {runs, store, servers, gateways} = await startDeployment({
    folder,
    started,
    write,
    gatewayNames: GATEWAYS,
    serverIds: [...LEAVING, 'i-1', 'i-2'],
    tenants: [{name: 'hule930', 'api-keys': [KEY]}],
  });
  const agent = new Agent({keepAlive: true});
  const answers = [];
  let isOver = false;
  let count = 0;

  async function sendRequests() {
    while (!isOver) {
      count += 1;
      const id = `r${count}`;
      const gateway = gateways[count % gateways.length];
      void sendRequest({
        port: gateway.front,
        method: 'POST',
        path: '/certs/issue',
        id,
        key: KEY,
        agent,
      }).then(answer => {
        answers.push(answer);
        write('answered', {...answer, by: gateway.name});
      });
      await waitFor(REQUEST_INTERVAL_MS);
    }
  }

  const sending = sendRequests();
  const removedAt = new Map();
  for (const [index, downMs] of STORE_DOWN_MS.entries()) {
    await waitFor(CALM_MS);
    if (HAS_TROUBLE) {
      write('store_down');
      store.setSilent(true);
      await waitFor(downMs);
      store.setSilent(false);
      write('store_up');
    } else {
      await waitFor(downMs);
    }
    await waitFor(REMOVAL_DELAY_MS);
    store.remove(`servers/${LEAVING[index]}`);
    removedAt.set(LEAVING[index], Date.now());
    write('removed', {server: LEAVING[index]});
    await waitFor(LINGER_MS);
    servers.find(({id}) => id === LEAVING[index]).close();
    write('ended', {server: LEAVING[index]});
    await waitFor(OBSERVED_MS - LINGER_MS);
  }
  isOver = true;
  await sending;
  await waitFor(1200);
  agent.destroy();
  const later = runs
    .filter(({server, at}) => at > (removedAt.get(server) ?? Infinity))
    .map(({id, server, at}) => ({
      id,
      server,
      afterMs: at - removedAt.get(server),
    }));
  for (const server of LEAVING) {
    const own = later.filter(run => run.server === server);
    write('last_after_removal', own.at(-1) ?? {server});
  }
  const lateIds = new Set(
    later.filter(({afterMs}) => afterMs > DRAIN_MS).map(({id}) => id),
  );
  write('lost', {
    requests: answers
      .filter(({id, status}) => lateIds.has(id) && status !== 200)
      .map(({id, status, error}) => ({id, status, error})),
  });
  return later
    .filter(({afterMs}) => afterMs > DRAIN_MS + TRANSIT_MS)
    .map(run => ({what: 'a request reached a server that had left', ...run}));
});
