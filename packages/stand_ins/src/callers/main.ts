/** `npm run measure:callers`: what callers get while processes are killed. */
import {fileURLToPath} from 'node:url';
import {createClient} from '@buckthornbeam/client';
import type {Client} from '@buckthornbeam/client';
import {RouterError, waitFor} from '@buckthornbeam/shared';
import {startCluster} from '../cluster/cluster.js';
import type {Cluster} from '../cluster/cluster.js';
import {buildAnswerText} from '../engine/answer_text.js';

/** Calls of each kind that are under way during one failure. */
const CALLS = 24;
const ENTRIES = 4;
const TOKENS = 100;
const POLL_MS = 10;
const PATIENCE_MS = 10_000;
const API_KEY = 'clinic-network-example-key';

const tunis = fileURLToPath(
  new URL('../../../../../examples/tunis', import.meta.url),
);

/** One failure of a role. */
interface Failure {
  name: string;
  run: (cluster: Cluster) => void;
}

const failures: readonly Failure[] = [
  {name: 'none', run: () => undefined},
  {
    name: 'one engine breaks its streams',
    run: ({engines}) => [...engines.values()][0]!.restart(true),
  },
  {
    name: 'the entry of the callers is killed',
    run: ({entries}) => entries[0]!.child.kill('SIGKILL'),
  },
  {
    name: 'another entry (owner, issuer) is killed',
    run: ({entries}) => entries[1]!.child.kill('SIGKILL'),
  },
];

type Counts = Record<string, number>;

function countBy(values: readonly string[]): Counts {
  const counts: Counts = {};
  for (const value of values) {
    counts[value] = (counts[value] ?? 0) + 1;
  }
  return counts;
}

async function runChat(client: Client, name: string): Promise<string> {
  const messages = [{role: 'user', content: name}];
  try {
    const {text, calls} = await client.chat({
      className: 'on-site',
      body: {model: 'inspector', messages, max_tokens: TOKENS},
    });
    const isWhole = text === buildAnswerText(messages, TOKENS);
    return isWhole ? (calls > 1 ? 'whole_resumed' : 'whole') : 'wrong';
  } catch (error) {
    return error instanceof RouterError ? error.code : 'other';
  }
}

async function runServiceCall(
  client: Client,
  reference: string,
): Promise<string> {
  try {
    await client.callService({
      service: 'registry',
      path: '/certificates',
      body: JSON.stringify({reference}),
    });
    return 'completed';
  } catch (error) {
    return error instanceof RouterError ? error.outcome : 'other';
  }
}

/** Every call is at the service, and none is answered yet. */
async function waitForExecutions({services}: Cluster): Promise<void> {
  for (let waited = 0; waited < PATIENCE_MS; waited += POLL_MS) {
    if (services[0]!.countAllExecutions() >= CALLS) {
      return;
    }
    await waitFor(POLL_MS);
  }
}

async function measureFailure({name, run}: Failure): Promise<unknown> {
  const cluster = await startCluster({
    fileSetDirectory: tunis,
    entries: ENTRIES,
  });
  const addresses = cluster.entries.map(item => item.instance.callerAddress);
  const client = createClient({addresses, apiKey: API_KEY});
  const [service] = cluster.services;
  const references = Array.from({length: CALLS}, (_, index) => `r-${index}`);
  try {
    service!.setHold(true);
    const chats = references.map(item => runChat(client, item));
    const calls = references.map(item => runServiceCall(client, item));
    await waitForExecutions(cluster);
    run(cluster);
    service!.setHold(false);
    const answers = countBy(await Promise.all(chats));
    const outcomes = countBy(await Promise.all(calls));
    const repeated = references.filter(
      item => service!.countExecutions(item) > 1,
    ).length;
    return {failure: name, calls: CALLS, answers, outcomes, repeated};
  } finally {
    service!.setHold(false);
    await client.close();
    await cluster.stop();
  }
}

for (const failure of failures) {
  const report = await measureFailure(failure);
  process.stdout.write(`${JSON.stringify(report)}\n`);
}
