/**
 * One answer of a server in trouble has a body without end, in chunks of a few
 * bytes. The other requests, which run at sound servers, must be answered.
 */
import {Agent} from 'node:http';
import {startBrokenServer} from '../broken_answers.mjs';
import {sendRequest} from '../caller.mjs';
import {startDeployment} from '../deployment.mjs';
import {HAS_TROUBLE, runCase, waitFor} from '../run_case.mjs';

const KEY = 'key-of-yevo400';
/** Clients, each with a connection that it keeps. */
const CLIENTS = 24;
const REQUEST_INTERVAL_MS = 20;
const CALM_MS = 2000;
const OBSERVED_MS = 9000;
/** The rule LOST is broken by more such requests. */
const MOST_LOST = 3;

await runCase(async ({folder, started, write}) => {
  const {runs, gateways} = await startDeployment({
    folder,
    started,
    write,
    gatewayNames: ['front-a-1'],
    serverIds: ['i-1', 'i-2', 'i-3', 'i-4'],
    tenants: [{name: 'yevo400', 'api-keys': [KEY]}],
    startOthers: async onRun => [
      await startBrokenServer({
        id: 'i-llm-1',
        service: 'sabra-llm',
        piece: 'noise',
        breakAnswer: url => (HAS_TROUBLE && url.endsWith('/broken') ? 500 : 0),
        onRun,
      }),
    ],
  });
  const [gateway] = gateways;
  const answers = [];
  let isOver = false;

  async function runClient(client) {
    const agent = new Agent({keepAlive: true, maxSockets: 1});
    for (let count = 0; !isOver; count += 1) {
      const answer = await sendRequest({
        port: gateway.front,
        method: 'POST',
        path: '/certs/issue',
        id: `c${client}-${count}`,
        key: KEY,
        agent,
      });
      answers.push({...answer, isKept: count > 0});
      write('answered', answer);
      if (answer.status === 0) {
        break;
      }
      await waitFor(REQUEST_INTERVAL_MS);
    }
    agent.destroy();
  }

  const clients = Array.from({length: CLIENTS}, (_, index) => runClient(index));
  await waitFor(CALM_MS);
  write('sent', {id: 'broken', path: '/queries/broken'});
  const broken = sendRequest({
    port: gateway.front,
    method: 'POST',
    path: '/queries/broken',
    id: 'broken',
    key: KEY,
    deadlineMs: 8000,
  }).then(answer => write('answered', answer));
  await waitFor(OBSERVED_MS);
  isOver = true;
  await Promise.all([...clients, broken]);
  write('gateway', {isRunning: gateway.isRunning()});
  const runIds = new Set(runs.map(({id}) => id));
  const lost = answers.filter(
    ({error, isKept, id}) =>
      error !== undefined && error !== 'deadline' && isKept && runIds.has(id),
  );
  return lost.length > MOST_LOST
    ? [
        {
          what: 'connections were closed without an answer to requests that ran',
          count: lost.length,
          ids: lost.map(({id}) => id),
          isGatewayRunning: gateway.isRunning(),
        },
      ]
    : [];
});
