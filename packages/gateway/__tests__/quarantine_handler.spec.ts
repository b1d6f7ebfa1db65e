/** What operators see of the prompt quarantine, and how they end one. */
import {createPromptQuarantine} from '@buckthornbeam/decisions';
import {createSystemClock} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createQuarantineHandler} from '../src/http/quarantine_handler.js';
import type {StatusAnswer} from '../src/http/status_server.js';

function createHandler() {
  const clock = createSystemClock();
  const quarantine = createPromptQuarantine({
    selfId: 'a',
    listInstances: () => ['a'],
  });
  for (const hash of [1, 2]) {
    quarantine.recordCrash({
      serverHash: hash,
      requestHash: hash,
      customerHash: 5,
      blockHashes: [0xab],
      hasBegun: true,
      at: clock.now() - 1000 * hash,
    });
  }
  return createQuarantineHandler({quarantine, clock});
}

describe('the quarantine for operators', () => {
  it('lists the entries with the time until a trial', () => {
    const answer = createHandler()('/quarantine', 'GET') as StatusAnswer;
    const [entry] = JSON.parse(answer.body!).entries;
    assert.is(entry.key, 'ab');
    assert.is(entry.customers, 1);
    assert.is(entry.relapses, 0);
    assert.ok(entry.trialInMs > 50_000);
  });

  it('ends an entry by its key, once', () => {
    const handle = createHandler();
    const statuses = [1, 2].map(
      () => (handle('/quarantine/ab', 'DELETE') as StatusAnswer).status,
    );
    assert.equal(statuses, [200, 404]);
    const {body} = handle('/quarantine', 'GET') as StatusAnswer;
    assert.equal(JSON.parse(body!).entries, []);
  });

  it('leaves other paths and methods to other handlers', () => {
    const handle = createHandler();
    assert.is(handle('/metrics', 'GET'), undefined);
    assert.is(handle('/quarantine', 'POST'), undefined);
  });
});
