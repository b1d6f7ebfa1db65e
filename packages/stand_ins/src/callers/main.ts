/**
 * `npm run measure:callers`: counts the answers and outcomes that callers
 * receive while an engine breaks its streams or an entry is killed.
 */
import {fileURLToPath} from 'node:url';
import {createClient} from '@buckthornbeam/client';
import type {Client} from '@buckthornbeam/client';
import {RouterError, waitFor} from '@buckthornbeam/shared';
import {startCluster} from '../cluster/cluster.js';
import type {Cluster} from '../cluster/cluster.js';
import {buildAnswerText} from '../engine/answer_text.js';

/** Concurrent chats, and as many concurrent service calls, during one failure. */
const CALLS_PER_KIND = 24;
const ENTRY_COUNT = 4;
const ANSWER_TOKENS = 100;
const POLL_MS = 10;
const WAIT_TIMEOUT_MS = 10_000;
const API_KEY = 'clinic-network-example-key';

const tunisDirectory = fileURLToPath(
  new URL('../../../../../examples/tunis', import.meta.url),
);

/** A failure that is injected while the calls are in flight. */
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
      body: {model: 'inspector', messages, max_tokens: ANSWER_TOKENS},
    });
    const isComplete = text === buildAnswerText(messages, ANSWER_TOKENS);
    return isComplete ? (calls > 1 ? 'whole_resumed' : 'whole') : 'wrong';
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

/**
 * Waits until the service, which holds its answers back, has received every
 * call; returns anyway after {@link WAIT_TIMEOUT_MS}.
 */
async function waitForExecutions({services}: Cluster): Promise<void> {
  for (let waitedMs = 0; waitedMs < WAIT_TIMEOUT_MS; waitedMs += POLL_MS) {
    if (services[0]!.countAllExecutions() >= CALLS_PER_KIND) {
      return;
    }
    await waitFor(POLL_MS);
  }
}

async function measureFailure({name, run}: Failure): Promise<unknown> {
  const cluster = await startCluster({
    fileSetDirectory: tunisDirectory,
    entries: ENTRY_COUNT,
  });
  const addresses = cluster.entries.map(item => item.instance.callerAddress);
  const client = createClient({addresses, apiKey: API_KEY});
  const [service] = cluster.services;
  const references = Array.from(
    {length: CALLS_PER_KIND},
    (_, index) => `r-${index}`,
  );
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
    return {failure: name, calls: CALLS_PER_KIND, answers, outcomes, repeated};
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
