/**
 * One stream of a server in trouble has an event without end, in chunks of a few
 * bytes. The other requests must have an answer soon after their route's timeout.
 */
import {Agent} from 'node:http';
import {startBrokenServer} from '../broken_answers.mjs';
import {sendRequest} from '../caller.mjs';
import {startDeployment} from '../deployment.mjs';
import {HAS_TROUBLE, runCase, waitFor} from '../run_case.mjs';

const KEY = 'key-of-yevo400';
/** `timeout-ms` of the routes of the other requests. */
const TIMEOUT_MS = 1000;
/** The clients wait longer, so that the timeout decides. */
const DEADLINE_MS = 4000;
/** From the rule CONFIG: time after the timeout, and the fewest requests. */
const ANSWER_SLACK_MS = 500;
const FEWEST_LATE = 8;
const REQUEST_INTERVAL_MS = 50;
const CALM_MS = 2000;
const OBSERVED_MS = 9000;

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
        breakAnswer: url => (HAS_TROUBLE && url.endsWith('/broken') ? 200 : 0),
        onRun,
      }),
    ],
  });
  const [gateway] = gateways;
  const agent = new Agent({keepAlive: true});
  const sending = [];
  let isOver = false;

  async function sendRequests() {
    for (let count = 0; !isOver; count += 1) {
      sending.push(
        sendRequest({
          port: gateway.front,
          method: 'POST',
          path: '/certs/issue',
          id: `r${count}`,
          key: KEY,
          agent,
          deadlineMs: DEADLINE_MS,
        }).then(answer => {
          write('answered', answer);
          return answer;
        }),
      );
      await waitFor(REQUEST_INTERVAL_MS);
    }
  }

  const others = sendRequests();
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
  await others;
  const answers = await Promise.all(sending);
  await broken;
  agent.destroy();
  // Requests that had no answer at their timeout, and those without one later.
  const open = answers.filter(
    ({sentAt, endedAt}) => endedAt - sentAt > TIMEOUT_MS,
  );
  const late = open.filter(
    ({sentAt, endedAt}) => endedAt - sentAt > TIMEOUT_MS + ANSWER_SLACK_MS,
  );
  // For information: requests that reached a server after their caller had left.
  const leftAt = new Map(
    answers
      .filter(({error}) => error === 'deadline')
      .map(({id, endedAt}) => [id, endedAt]),
  );
  const gone = runs.filter(
    ({id, at}) => at - (leftAt.get(id) ?? Infinity) > ANSWER_SLACK_MS,
  );
  write('sent_on_after_caller_left', {requests: gone.length});
  write('open_at_timeout', {open: open.length, late: late.length});
  return late.length >= FEWEST_LATE && late.length > open.length / 2
    ? [
        {
          what: 'requests had no answer half a second after their timeout',
          open: open.length,
          late: late.length,
          longestMs: Math.max(...late.map(item => item.endedAt - item.sentAt)),
        },
      ]
    : [];
});
