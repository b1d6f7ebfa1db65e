/** `npm run demo`: starts a cluster on loopback and makes one call of each kind. */
import {fileURLToPath} from 'node:url';
import {createParser} from 'eventsource-parser';
import {request} from 'undici';
import {startCluster} from '../cluster/cluster.js';
import type {Cluster} from '../cluster/cluster.js';
import {buildAnswerText} from '../engine/answer_text.js';
import {runPausingServer} from './pausing_server.js';

interface DemoStep {
  name: string;
  run: (cluster: Cluster, address: string) => Promise<string>;
}

const examplesUrl = new URL('../../../../../examples/', import.meta.url);
const API_KEY = 'clinic-network-example-key';

const headers = {
  authorization: `Bearer ${API_KEY}`,
  'content-type': 'application/json',
};

function assertEqual(actual: unknown, expected: unknown, label: string): void {
  if (actual !== expected) {
    throw new DOMException(`${label}: got ${actual}, expected ${expected}`);
  }
}

async function readStreamedText(
  body: AsyncIterable<Uint8Array>,
): Promise<string> {
  let text = '';
  let hasTerminator = false;
  const parser = createParser({
    onEvent: event => {
      if (event.data === '[DONE]') {
        hasTerminator = true;
        return;
      }
      const chunk = JSON.parse(event.data) as {
        choices: Array<{delta: {content: string}}>;
      };
      text += chunk.choices[0]!.delta.content;
    },
  });
  for await (const bytes of body) {
    parser.feed(Buffer.from(bytes).toString('utf8'));
  }
  assertEqual(hasTerminator, true, 'terminator');
  return text;
}

const steps: readonly DemoStep[] = [
  {
    name: 'streamed chat',
    run: async (_cluster, address) => {
      const messages = [{role: 'user', content: 'Summarise drill 17.'}];
      const body = {model: 'inspector', messages, max_tokens: 40, stream: true};
      const response = await request(`http://${address}/v1/chat/completions`, {
        method: 'POST',
        headers: {...headers, 'x-request-class': 'on-site'},
        body: JSON.stringify(body),
      });
      assertEqual(response.statusCode, 200, 'status');
      const text = await readStreamedText(response.body);
      assertEqual(text, buildAnswerText(messages, 40), 'answer');
      return `${text.split(' ').length - 1} tokens, complete`;
    },
  },
  {
    name: 'idempotent call',
    run: async (_cluster, address) => {
      const url = `http://${address}/v1/services/registry/logs`;
      const body = JSON.stringify({reference: 'log-1'});
      const response = await request(url, {method: 'POST', headers, body});
      assertEqual(response.statusCode, 200, 'status');
      await response.body.dump();
      return 'stored';
    },
  },
  {
    name: 'non-idempotent call',
    run: async (cluster, address) => {
      const url = `http://${address}/v1/services/registry/certificates`;
      const body = JSON.stringify({reference: 'certificate-1'});
      const first = await request(url, {method: 'POST', headers, body});
      assertEqual(first.statusCode, 428, 'status without a ticket');
      await first.body.dump();
      const ticket = String(first.headers['idempotency-ticket']);
      for (let repeat = 0; repeat < 3; repeat++) {
        const response = await request(url, {
          method: 'POST',
          headers: {...headers, 'idempotency-ticket': ticket},
          body,
        });
        assertEqual(response.statusCode, 200, 'status with the ticket');
        await response.body.dump();
      }
      const executions = cluster.services[0]!.countExecutions('certificate-1');
      assertEqual(executions, 1, 'executions');
      return 'sent 3 times, executed once';
    },
  },
  {
    name: 'server that asks for a pause',
    run: async () => {
      const {before, inPause, after, failed} = await runPausingServer();
      assertEqual(failed, 0, 'requests without an answer');
      assertEqual(inPause <= 2, true, `${inPause} requests in the pause`);
      assertEqual(after > 2, true, `${after} requests after the pause`);
      return `${before} requests before, ${inPause} in the pause, ${after} after it`;
    },
  },
];

async function runStep(step: DemoStep, cluster: Cluster): Promise<boolean> {
  const address = cluster.entries[0]!.instance.callerAddress;
  try {
    const result = await step.run(cluster, address);
    process.stdout.write(`ok      ${step.name}: ${result}\n`);
    return true;
  } catch (error) {
    process.stdout.write(`failed  ${step.name}: ${String(error)}\n`);
    return false;
  }
}

async function runDemo(): Promise<number> {
  const shouldExit = process.argv.includes('--once');
  const cluster = await startCluster({
    fileSetDirectory: fileURLToPath(new URL('tunis', examplesUrl)),
  });
  try {
    process.stdout.write(
      `started ${cluster.entries.length} entries in front of ${cluster.engines.size} engines\n`,
    );
    let hasPassed = true;
    for (const step of steps) {
      hasPassed = (await runStep(step, cluster)) && hasPassed;
    }
    if (!shouldExit) {
      const {callerAddress} = cluster.entries[0]!.instance;
      process.stdout.write(
        `serving at http://${callerAddress} with API key ${API_KEY}; stop with Ctrl-C\n`,
      );
      await new Promise(resolve => process.once('SIGINT', resolve));
    }
    return hasPassed ? 0 : 1;
  } finally {
    await cluster.stop();
  }
}

process.exitCode = await runDemo();
