/**
 * A machine stands still for 2.4 s. Just before it wakes up, the entry of a server that
 * leaves without notice is removed. The machine reads that first, keeps the server for a
 * while as if the store had been away, and all others learn the server's state from it.
 */
import {fileURLToPath} from 'node:url';
import {sendRequest} from '../client_2.mjs';
import {runCase, wait} from '../run_case_2.mjs';
import {
  KEY,
  REGISTRY,
  ROUTE_HOST,
  ZONES,
  buildConfiguration,
  planGateways,
  startPlanned,
  startServers,
} from '../site_2.mjs';
import {startStore} from '../store_2.mjs';

/** Largest dose of the sheet for `node_freeze`: 3.5 s. */
const FREEZE_MS = 2400;
const DRAIN_MS = 2000;
const DEADLINE_MS = 1000;
/** Time that is sure to be over when the request arrives. */
const MARGIN_MS = 60;
const JUDGED_MS = 900;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async context => {
  const {record, hasTrouble, onEnd} = context;
  const store = await startStore({host: '127.0.0.1', record});
  onEnd(() => store.close());
  store.put('op/config', buildConfiguration());
  const servers = await startServers(context, store, {
    service: REGISTRY,
    zones: ZONES,
    slots: 6,
    workMs: 20,
  });
  const plans = await planGateways(ZONES);
  const gateways = plans.map(plan =>
    startPlanned(context, plan, plans, store.address, (name, line) => {
      if (/event=(server_lapsed|server_removed)/.test(line)) {
        record('gateway', 'logs', {gateway: name, line: line.slice(0, 300)});
      }
    }),
  );
  await Promise.all(gateways.map(gateway => gateway.waitUntilReady()));
  await wait(4000);

  // The machines beside the leaving server are sound, and in touch all the while.
  const [frozen, ...sound] = gateways;
  const leaving = servers[3];
  if (hasTrouble) {
    frozen.signal('SIGSTOP');
  }
  await wait(FREEZE_MS);
  // The next moment at which one of the others has just read the store.
  await new Promise(resolve => {
    const stopListening = store.onRequest(() => {
      stopListening();
      resolve();
    });
  });
  await wait(120);
  leaving.beginLeaving();
  store.remove(`servers/${leaving.id}`);
  const removedAt = performance.now();
  if (hasTrouble) {
    frozen.signal('SIGCONT');
  }

  await wait(removedAt + DRAIN_MS + MARGIN_MS - performance.now());
  let requests = 0;
  while (performance.now() < removedAt + DRAIN_MS + JUDGED_MS) {
    await Promise.all(
      sound.map(gateway => {
        requests += 1;
        return sendRequest({
          address: gateway.listen.callers,
          host: ROUTE_HOST,
          path: '/log/a',
          id: `look-${requests}`,
          method: 'GET',
          key: KEY,
          deadlineMs: DEADLINE_MS,
          record,
        }).done;
      }),
    );
  }
  return leaving.runs
    .filter(({at}) => at > removedAt + DRAIN_MS)
    .map(
      run =>
        `DRAIN ${run.requestId}: run by ${leaving.id} ${Math.round(run.at - removedAt)} ms after the store had acknowledged that it is gone`,
    );
});
