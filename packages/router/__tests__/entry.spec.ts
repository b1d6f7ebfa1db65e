import {fileURLToPath} from 'node:url';
import {loadFileSet} from '@buckthornbeam/config';
import {Outcome, RouterError, createManualClock} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createEntry} from '../src/tasks/entry.js';
import type {EntryOptions} from '../src/tasks/entry.js';

const tunis = fileURLToPath(
  new URL('../../../../examples/tunis', import.meta.url),
);
const call = {
  serviceName: 'registry',
  method: 'POST',
  path: '/logs',
  contentType: 'application/json',
  body: new Uint8Array(),
};
const chat = {
  requestId: 'request-1',
  className: 'on-site',
  model: 'inspector',
  body: {messages: [{role: 'user', content: 'hello'}]},
  maximumTokens: 8,
  resumeOffset: 0,
};

/**
 * Creates the entry of an isolated instance and counts calls to its services.
 */
function createIsolatedEntry(): {
  entry: ReturnType<typeof createEntry>;
  countWork: () => number;
} {
  let work = 0;
  const recordWork = () => {
    work += 1;
    return {};
  };
  const fileSet = loadFileSet(tunis);
  const options = {
    identity: {instanceId: 'e-1', dataCentre: 'tunis-a', incarnation: 'i'},
    clock: createManualClock(),
    member: {isIsolated: () => true, listPeers: () => [], isReady: () => true},
    services: {callIdempotent: recordWork},
    tickets: {issue: recordWork},
    logger: {debug: recordWork},
    findFileSet: () => fileSet,
    isLeaving: () => false,
    getCallerAddress: () => '127.0.0.1:1',
  };
  const entry = createEntry(options as unknown as EntryOptions);
  return {entry, countWork: () => work};
}

function assertIsolated(error: unknown): void {
  assert.instance(error, RouterError);
  const {code, outcome} = error as RouterError;
  assert.equal({code, outcome}, {code: 'isolated', outcome: Outcome.NOT_RUN});
}

async function runAndCatch(body: () => unknown): Promise<unknown> {
  try {
    await body();
    return undefined;
  } catch (error) {
    return error;
  }
}

describe('entry of an isolated instance', () => {
  it('rejects requests with the outcome not_run and calls no service', async () => {
    const {entry, countWork} = createIsolatedEntry();
    const signal = new AbortController().signal;
    const answers = entry.answer('clinic-network', chat, signal);
    const iterator = answers[Symbol.asyncIterator]();
    assertIsolated(await runAndCatch(() => iterator.next()));
    assertIsolated(await runAndCatch(() => entry.callService(call)));
    assertIsolated(
      await runAndCatch(() => entry.issueTicket('clinic-network', call, 'k')),
    );
    assert.is(countWork(), 0);
  });

  it('is absent from the entry list', () => {
    const {entry} = createIsolatedEntry();
    assert.equal(entry.listEntries(null).entries, []);
  });
});
