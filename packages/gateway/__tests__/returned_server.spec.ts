/** A server that has refused requests and asked for a pause, without a network. */
import {waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createMemoryAgent} from './support/memory_servers.js';
import type {MemoryServer} from './support/memory_servers.js';
import {createRelayFixture, encodeAnswer} from './support/relay_fixture.js';

/** Load of the case: so many requests at once, which all reach the first server. */
const REQUESTS = 4;

function readId(head: string): string {
  return /^id: (\w+)/im.exec(head)![1]!;
}

const serve: MemoryServer = (head, connection) =>
  connection.write(
    encodeAnswer('200 OK', [`id: ${readId(head)}`, 'seal: s'], 'good'),
  );

/** Returns the servers of a request after the first server has refused some. */
async function sendAfterRefusals(headers: readonly string[], waitMs: number) {
  let isRefusing = true;
  const relay = createRelayFixture({
    addresses: {first: 'first:1', second: 'second:1'},
    agent: createMemoryAgent({
      first: (head, connection) => {
        if (isRefusing) {
          const lines = [`id: ${readId(head)}`, ...headers];
          connection.write(encodeAnswer('503 Refused', lines));
        } else {
          serve(head, connection);
        }
      },
      second: serve,
    }),
  });
  await Promise.all(
    Array.from({length: REQUESTS}, (_, index) => relay.send(`r${index}`)),
  );
  isRefusing = false;
  await waitFor(waitMs);
  const {report, isComplete} = await relay.send('last');
  relay.close();
  assert.ok(isComplete);
  return report.servers;
}

describe('a server after its refusals', () => {
  // Guards against a server that stays unused for seconds after the pause that it asked for.
  it('that asked for a pause gets its trial at the end', async () => {
    for (const notRun of [['not-run: 1'], []]) {
      const headers = [...notRun, 'retry-after: 0.6'];
      assert.equal(await sendAfterRefusals(headers, 700), ['first']);
    }
  });

  // Guards against trials every few milliseconds at a server that refuses everything.
  it('that asked for a very short pause, or for none, is avoided for a while', async () => {
    for (const pause of [['retry-after: 0.01'], []]) {
      const headers = ['not-run: 1', ...pause];
      assert.equal(await sendAfterRefusals(headers, 700), ['second']);
    }
  });
});
