import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import * as assert from 'uvu/assert';
import {createClient} from '@buckthornbeam/client';
import type {Client} from '@buckthornbeam/client';
import {waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import {buildAnswerText, startCluster} from '../src/index.js';
import type {Cluster} from '../src/index.js';

const tunisDirectory = fileURLToPath(
  new URL('../../../../examples/tunis', import.meta.url),
);
const API_KEY = 'clinic-network-example-key';
const ANSWER_TOKENS = 120;
const POLL_MS = 20;
const WAIT_TIMEOUT_MS = 20_000;

const headers = {
  authorization: `Bearer ${API_KEY}`,
  'content-type': 'application/json',
};

function makeMessages(name: string) {
  return [{role: 'user', content: name}];
}

async function runOnCluster(
  body: (cluster: Cluster, client: Client) => Promise<void>,
): Promise<void> {
  const cluster = await startCluster({
    fileSetDirectory: tunisDirectory,
    entries: 3,
  });
  const client = createClient({
    addresses: cluster.entries.map(entry => entry.instance.callerAddress),
    apiKey: API_KEY,
  });
  try {
    await body(cluster, client);
  } finally {
    await client.close();
    await cluster.stop();
  }
}

async function waitUntil(condition: () => boolean): Promise<void> {
  for (
    let waitedMs = 0;
    !condition() && waitedMs < WAIT_TIMEOUT_MS;
    waitedMs += POLL_MS
  ) {
    await waitFor(POLL_MS);
  }
  assert.ok(condition());
}

/** Injects a failure after the fifth piece of text and expects a complete answer. */
async function runChatDuringFailure(
  client: Client,
  name: string,
  injectFailure: () => void,
): Promise<void> {
  const messages = makeMessages(name);
  let textCount = 0;
  const answer = await client.chat({
    className: 'on-site',
    body: {model: 'inspector', messages, max_tokens: ANSWER_TOKENS},
    onText: () => {
      textCount += 1;
      if (textCount === 5) {
        injectFailure();
      }
    },
  });
  assert.is(answer.text, buildAnswerText(messages, ANSWER_TOKENS));
  assert.is(answer.finishReason, 'stop');
}

function callCertificates(address: string, body: string, ticket?: string) {
  return request(`http://${address}/v1/services/registry/certificates`, {
    method: 'POST',
    headers: {...headers, ...(ticket ? {'idempotency-ticket': ticket} : {})},
    body,
  });
}

describe('client', () => {
  it('receives the complete answer despite broken engines and a killed entry', () =>
    runOnCluster(async (cluster, client) => {
      await runChatDuringFailure(client, 'engine', () =>
        cluster.engines.forEach(engine => engine.restart(true)),
      );
      const [first] = cluster.entries;
      await runChatDuringFailure(client, 'entry', () =>
        first!.child.kill('SIGKILL'),
      );
    }));

  it('frees the engines when the caller disconnects', () =>
    runOnCluster(async (cluster, client) => {
      const abortController = new AbortController();
      const call = client.chat({
        className: 'on-site',
        body: {
          model: 'inspector',
          messages: makeMessages('leaves'),
          max_tokens: 400,
        },
        onText: () => abortController.abort(),
        signal: abortController.signal,
      });
      let code = 'none';
      await call.catch(error => {
        code = error.code;
      });
      assert.is.not(code, 'none');
      await waitUntil(() =>
        [...cluster.engines.values()].every(
          engine => engine.countRunning() === 0,
        ),
      );
    }));

  it('executes a call once and rejects a second call with its idempotency key', () =>
    runOnCluster(async (cluster, client) => {
      const [service] = cluster.services;
      const call = {
        service: 'registry',
        path: '/certificates',
        body: JSON.stringify({reference: 'c-1'}),
        idempotencyKey: 'key-1',
      };
      assert.is((await client.callService(call)).status, 200);
      assert.is(service!.countExecutions('c-1'), 1);
      let code = 'none';
      await client.callService(call).catch(error => {
        code = error.code;
      });
      assert.is(code, 'key_in_use');
      assert.is(service!.countExecutions('c-1'), 1);
    }));
});

describe('tickets', () => {
  it('are bound to their body and survive a planned stop of their issuer', () =>
    runOnCluster(async cluster => {
      const [issuer, other] = cluster.entries;
      const [service] = cluster.services;
      const {callerAddress} = issuer!.instance;
      const body = JSON.stringify({reference: 'c-2'});
      const refused = await callCertificates(callerAddress, body);
      assert.is(refused.statusCode, 428);
      await refused.body.dump();
      const ticket = String(refused.headers['idempotency-ticket']);
      const changed = await callCertificates(callerAddress, '{}', ticket);
      const problem = (await changed.body.json()) as {code: string};
      assert.is(problem.code, 'ticket_invalid');
      assert.is(service!.countAllExecutions(), 0);
      const address = other!.instance.callerAddress;
      const first = await callCertificates(address, body, ticket);
      assert.is(first.statusCode, 200);
      await first.body.dump();
      issuer!.child.kill('SIGTERM');
      await waitUntil(() => issuer!.child.exitCode !== null);
      const repeated = await callCertificates(address, body, ticket);
      assert.is(repeated.statusCode, 200);
      assert.is(repeated.headers['x-replayed'], 'true');
      await repeated.body.dump();
      assert.is(service!.countExecutions('c-2'), 1);
    }));
});
