/**
 * A machine is stopped and started again while the store is slow, and a zone is evacuated
 * while the machine reads its first state. The machine hears of the evacuation from a
 * peer, and drops it when its own read, which began before, ends.
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

const EVACUATED_ZONE = ZONES[3];
const EVACUATION_KEY = `op/evacuate/${EVACUATED_ZONE}`;
/** Largest doses of the sheet for `platform_slow`. */
const SLOW_FACTOR = 60;
const SLOW_MS = 4500;
const EVACUATE_MS = 5000;
const STRETCH_MAX_MS = 5000;
const CONTACT_MS = 3000;
const DEADLINE_MS = 1000;
const MAXIMUM_STOPS = 8;
/** Time after the machine's first read in which the operator writes, if a peer reads. */
const MOMENT_MS = 200;

await runCase(fileURLToPath(new URL('.', import.meta.url)), async context => {
  const {record, hasTrouble, onEnd} = context;
  const store = await startStore({host: '127.0.0.1', record});
  onEnd(() => store.close());
  const ownAddress = await store.listen('127.0.0.2');
  store.put('op/config', buildConfiguration());
  const servers = await startServers(context, store, {
    service: REGISTRY,
    zones: ZONES,
    slots: 6,
    workMs: 20,
  });
  let dropped = 0;
  const plans = await planGateways([EVACUATED_ZONE, ...ZONES.slice(0, 2)]);
  const gateways = plans.map((plan, index) =>
    startPlanned(
      context,
      plan,
      plans,
      index === 0 ? ownAddress : store.address,
      (name, line) => {
        if (line.includes('event=evacuation')) {
          record('gateway', 'logs', {gateway: name, line: line.slice(0, 300)});
        }
        if (index === 0 && /isEvacuated[=:]"?false/.test(line)) {
          dropped += 1;
        }
      },
    ),
  );
  await Promise.all(gateways.map(gateway => gateway.waitUntilReady()));
  await wait(3000);
  const [first, ...others] = gateways;

  let requests = 0;
  function ask(gateway) {
    requests += 1;
    return sendRequest({
      address: gateway.listen.callers,
      host: ROUTE_HOST,
      path: '/log/a',
      id: `look-${requests}`,
      method: 'GET',
      key: KEY,
      deadlineMs: DEADLINE_MS,
    }).done;
  }
  // The usual traffic of the other machines.
  const traffic = setInterval(
    () => void ask(others[requests % others.length]),
    60,
  );
  onEnd(() => clearInterval(traffic));

  /** Writes the evacuation when a peer reads just after the first read of the machine. */
  function evacuateAtFirstRead() {
    let readAt = -Infinity;
    return new Promise(resolve => {
      const stopListening = store.onRequest((url, storeHost) => {
        const now = performance.now();
        const isOwn = storeHost === '127.0.0.2';
        if (isOwn && url.searchParams.get('path-prefix') === 'op/') {
          readAt = now;
        } else if (
          !isOwn &&
          url.pathname === '/kv-watch' &&
          now - readAt < MOMENT_MS
        ) {
          stopListening();
          store.put(EVACUATION_KEY, {});
          resolve(now);
        }
      });
      setTimeout(() => {
        stopListening();
        resolve(undefined);
      }, SLOW_MS - 500);
    });
  }

  let evacuatedAt;
  let evacuations = 0;
  for (let stop = 0; stop < MAXIMUM_STOPS && !evacuatedAt; stop += 1) {
    first.signal('SIGTERM');
    await first.ended;
    const slowSince = performance.now();
    if (hasTrouble) {
      record('store', 'is slow', {factor: SLOW_FACTOR});
      store.setSlowness(SLOW_FACTOR);
    }
    dropped = 0;
    first.restart();
    const writtenAt = await evacuateAtFirstRead();
    evacuations += writtenAt === undefined ? 0 : 1;
    await wait(slowSince + SLOW_MS - performance.now());
    store.setSlowness(1);
    record('store', 'is as fast as usual');
    if (writtenAt !== undefined && (dropped > 0 || !hasTrouble)) {
      evacuatedAt = writtenAt;
    } else if (writtenAt !== undefined) {
      store.remove(EVACUATION_KEY);
      await wait(500);
    }
  }
  if (evacuations === 0) {
    throw new Error('no peer read the store at the moment of the evacuation');
  }
  if (evacuatedAt === undefined) {
    record('case', 'the evacuation held in all tries');
    return [];
  }
  // From then on, each bound of the rule is over and the machine is in touch.
  const judgedFrom =
    Math.max(
      evacuatedAt + EVACUATE_MS + STRETCH_MAX_MS,
      performance.now() + CONTACT_MS,
    ) + 500;
  await wait(judgedFrom - performance.now());
  clearInterval(traffic);
  for (let index = 0; index < 40; index += 1) {
    await ask(gateways[index % gateways.length]);
  }
  return servers
    .filter(({zone}) => zone === EVACUATED_ZONE)
    .flatMap(server =>
      server.runs
        .filter(({at}) => at >= judgedFrom)
        .map(
          run =>
            `EVAC ${run.requestId}: run by ${server.id} in ${EVACUATED_ZONE} ${Math.round(run.at - evacuatedAt)} ms after its evacuation was acknowledged`,
        ),
    );
});
