import {fileURLToPath} from 'node:url';
import {create} from '@bufbuild/protobuf';
import * as assert from 'uvu/assert';
import {
  createFileSet,
  createSettings,
  loadFileSet,
} from '@buckthornbeam/config';
import type {FileSet} from '@buckthornbeam/config';
import {DispatchRequestSchema} from '@buckthornbeam/protocol';
import type {DispatchEvent} from '@buckthornbeam/protocol';
import {
  RouterError,
  createLogger,
  createManualClock,
  createMetrics,
  waitFor,
} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import type {EngineCall, EngineClient} from '../src/engine_client.js';
import {createOwner} from '../src/tasks/owner.js';

const tunis = fileURLToPath(
  new URL('../../../../examples/tunis', import.meta.url),
);
const SERVER = 'tunis-gpu-1';
/**
 * Longer than the slot of a cancelled attempt is kept on a server not yet warm.
 */
const STARTING_WAIT_MS = 700;

/**
 * Engines that answer one token and then block until the test calls `finish` or
 * the owner cancels the call.
 */
function createFakeEngines() {
  const calls: EngineCall[] = [];
  /** Running requests that each engine reports. */
  const load = {running: 0};
  const release = new Map<string, () => void>();
  const client: EngineClient = {
    async *streamAnswer(call) {
      calls.push(call);
      yield {offset: call.resumeOffset, tokens: 1, data: '{}'};
      await new Promise<void>((resolve, reject) => {
        release.set(call.attemptId, resolve);
        const cancelCall = () =>
          reject(new RouterError('answer_truncated', 'aborted'));
        call.signal.addEventListener('abort', cancelCall);
      });
    },
    fetchLoad: async () => ({
      running: load.running,
      waiting: 0,
      completed: 0,
      incarnation: 'first',
    }),
    close: async () => {},
  };
  return {client, calls, load, finish: (id: string) => release.get(id)!()};
}

function setServerState(set: FileSet, state: 'in' | 'out'): FileSet {
  return createFileSet({
    ...set.files,
    'backend-servers.json': {
      backendServers: [...set.servers.values()].map(server =>
        server.id === SERVER ? {...server, state} : server,
      ),
    },
  });
}

interface Collected {
  events: DispatchEvent[];
  ended: Promise<void>;
}

function setUp() {
  const set = loadFileSet(tunis);
  const clock = createManualClock(1000);
  const engines = createFakeEngines();
  const state = {share: Infinity, isOwner: true};
  const owner = createOwner({
    settings: createSettings({
      instance: {id: 'entry-1', dataCentre: 'tunis-a'},
      callers: {host: '127.0.0.1', port: 0},
      peers: {host: '127.0.0.1', port: 0},
      ticketKey: 'a-key-for-tests-only-0000000001',
      platform: {address: '127.0.0.1:1'},
    }),
    clock,
    logger: createLogger({write: () => {}}),
    metrics: createMetrics(),
    engines: engines.client,
    isOwner: () => state.isOwner,
    getShare: (_id, limit) => Math.min(limit, state.share),
  });
  owner.applyFileSet(set);

  function dispatch(
    attemptId: string,
    tier = 1,
    signal = new AbortController().signal,
  ): Collected {
    const request = create(DispatchRequestSchema, {
      requestId: attemptId,
      attemptId,
      serverId: SERVER,
      className: 'on-site',
      customerId: 'schools',
      model: 'inspector',
      tier,
      slackMs: 400,
      estimatedTokens: 10,
      body: Buffer.from('{}'),
    });
    const events: DispatchEvent[] = [];
    const ended = (async () => {
      for await (const event of owner.dispatch(request, signal)) {
        events.push(event);
      }
    })();
    return {events, ended};
  }

  return {set, clock, engines, state, owner, dispatch};
}

function getLast({events}: Collected) {
  const event = events.at(-1)!.event;
  const value = event.value as {code?: string; outcome?: string};
  return {name: event.case, code: value.code, outcome: value.outcome};
}

const settle = () => waitFor(5);

describe('owner', () => {
  it('refuses queued requests and finishes streams when a server leaves service', async () => {
    const {set, engines, owner, dispatch} = setUp();
    const running = ['a', 'b', 'c', 'd'].map(id => dispatch(id));
    const queued = dispatch('e');
    await settle();
    assert.is(engines.calls.length, 4, 'the starting limit');
    owner.applyFileSet(setServerState(set, 'out'));
    await queued.ended;
    assert.equal(getLast(queued), {
      name: 'failed',
      code: 'no_server',
      outcome: 'not_run',
    });
    ['a', 'b', 'c', 'd'].forEach(engines.finish);
    await Promise.all(running.map(item => item.ended));
    assert.ok(running.every(item => getLast(item).name === 'completed'));
    assert.is(engines.calls.length, 4, 'no new attempt was started');
    const late = dispatch('f');
    await late.ended;
    assert.is(getLast(late).code, 'no_server');
  });

  it('starts no attempt above its share and cancels none when the share shrinks', async () => {
    const {engines, owner, state, dispatch} = setUp();
    state.share = 3;
    const all = ['a', 'b', 'c', 'd', 'e'].map(id => dispatch(id));
    await settle();
    assert.is(engines.calls.length, 3);
    state.share = 1;
    engines.finish('a');
    engines.finish('b');
    await settle();
    assert.is(
      engines.calls.length,
      3,
      'one attempt runs, which is the whole share',
    );
    assert.is(owner.listLoads()[0]!.limit, 1);
    engines.finish('c');
    await settle();
    assert.is(engines.calls.length, 4);
    engines.finish('d');
    await settle();
    engines.finish('e');
    await Promise.all(all.map(item => item.ended));
    assert.ok(all.every(item => getLast(item).name === 'completed'));
  });

  it('preempts a lower tier for an urgent request and reports the offset', async () => {
    const {clock, engines, owner, state, dispatch} = setUp();
    state.share = 1;
    const brief = dispatch('brief', 4);
    await settle();
    const high = dispatch('high', 1);
    clock.advance(350);
    // The queue checks deadlines whenever it handles a message.
    const other = dispatch('other', 4);
    await brief.ended;
    const failure = brief.events.at(-1)!.event;
    assert.is(getLast(brief).code, 'preempted');
    assert.is((failure.value as {offset: number}).offset, 1);
    await waitFor(STARTING_WAIT_MS);
    assert.is(engines.calls.at(-1)!.attemptId, 'high');
    assert.is(owner.listLoads()[0]!.inFlight, 1);
    engines.finish('high');
    await high.ended;
    await settle();
    engines.finish('other');
    await other.ended;
  });

  it('keeps the slot of a cancelled stream until the engine has noticed', async () => {
    const {engines, owner, state, dispatch} = setUp();
    state.share = 1;
    const caller = new AbortController();
    const first = dispatch('first', 1, caller.signal);
    const second = dispatch('second');
    await settle();
    caller.abort();
    await first.ended;
    assert.is(engines.calls.length, 1);
    assert.is(owner.listLoads()[0]!.inFlight, 1);
    await waitFor(100);
    assert.is(
      engines.calls.length,
      1,
      'the delay is longer on a server not yet warm',
    );
    await waitFor(STARTING_WAIT_MS);
    assert.is(engines.calls.at(-1)!.attemptId, 'second');
    engines.finish('second');
    await second.ended;
  });

  it('subtracts requests of an earlier owner from the limit of a starting server', async () => {
    const {engines, owner, dispatch} = setUp();
    engines.load.running = 3;
    const all = ['a', 'b'].map(id => dispatch(id));
    await settle();
    assert.is(
      engines.calls.length,
      1,
      'one slot is free of a starting limit of 4',
    );
    assert.is(owner.listLoads()[0]!.limit, 1);
    engines.finish('a');
    await settle();
    engines.finish('b');
    await Promise.all(all.map(item => item.ended));
  });

  it('reports not_run for a request that is cancelled in the queue', async () => {
    const {engines, state, dispatch} = setUp();
    state.share = 1;
    const caller = new AbortController();
    const first = dispatch('first');
    const second = dispatch('second', 1, caller.signal);
    await settle();
    caller.abort();
    await second.ended;
    assert.equal(getLast(second), {
      name: 'failed',
      code: 'cancelled',
      outcome: 'not_run',
    });
    engines.finish('first');
    await first.ended;
    assert.is(engines.calls.length, 1);
  });
});
