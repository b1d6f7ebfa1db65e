/**
 * A gateway stands still for 5 s, and a key is taken away at the beginning of
 * that time. No request with the key that is sent over 5 s later may run.
 */
import {Agent} from 'node:http';
import {sendRequest} from '../caller.mjs';
import {buildConfiguration, startDeployment} from '../deployment.mjs';
import {HAS_TROUBLE, runCase, waitFor} from '../run_case.mjs';

const KEPT_KEY = 'key-of-yevo400';
const TAKEN_KEY = 'key-of-hule930';
/** Bound and dose of the pages, in milliseconds. */
const REVOKE_MS = 5000;
const FREEZE_MS = 5000;
/** From the acknowledgement of the configuration to the freeze. */
const FREEZE_DELAY_MS = 50;
const FIRST_REQUEST_MS = REVOKE_MS + 10;
const REQUESTS = 30;
const REQUEST_INTERVAL_MS = 5;

await runCase(async ({folder, started, write}) => {
  const tenants = [
    {name: 'yevo400', 'api-keys': [KEPT_KEY]},
    {name: 'hule930', 'api-keys': [TAKEN_KEY]},
  ];
  const {runs, store, gateways} = await startDeployment({
    folder,
    started,
    write,
    gatewayNames: ['front-a-1', 'front-b-1', 'front-a-2'],
    serverIds: ['i-1', 'i-2'],
    tenants,
  });
  const [frozen] = gateways.slice(-1);
  const agent = new Agent({keepAlive: true});

  async function send(id, key) {
    const port = frozen.front;
    write('sent', {id, key, gateway: frozen.name});
    const answer = await sendRequest({port, path: '/logs/1', id, key, agent});
    write('answered', answer);
  }

  await waitFor(3000);
  await send('before', TAKEN_KEY);
  store.put(
    'op/config',
    buildConfiguration({
      version: 9,
      tenants: [tenants[0], {name: 'hule930', 'api-keys': []}],
    }),
  );
  const takenAt = Date.now();
  write('key_taken');
  await waitFor(FREEZE_DELAY_MS);
  if (HAS_TROUBLE) {
    frozen.signal('SIGSTOP');
    write('frozen', {gateway: frozen.name});
    setTimeout(() => {
      frozen.signal('SIGCONT');
      write('awake', {gateway: frozen.name});
    }, FREEZE_MS);
  }
  await waitFor(takenAt + FIRST_REQUEST_MS - Date.now());
  const sending = [];
  for (let index = 0; index < REQUESTS; index += 1) {
    sending.push(send(`late-${index}`, TAKEN_KEY));
    await waitFor(REQUEST_INTERVAL_MS);
  }
  await Promise.all(sending);
  await send('kept', KEPT_KEY);
  agent.destroy();
  return runs
    .filter(({id}) => id.startsWith('late-'))
    .map(run => ({
      what: 'a request ran whose key had been taken away',
      afterMs: run.at - takenAt,
      run,
    }));
});
