/** Watching the store through failed calls. */
import {RouterError, createSystemClock, waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import type {StoreReader, StoreSnapshot} from '../src/ports.js';
import {createClusterState} from '../src/state/cluster_state.js';
import {createStoreWatcher} from '../src/state/store_watcher.js';
import {createConfiguration, silentLogger} from './support/fixtures.js';

const WATCH_MS = 100;
const SLOW_READ_MS = 400;

type Call = (revision: number) => Promise<StoreSnapshot>;

function createSnapshot(
  revision: number,
  version: number,
  isWhole: boolean,
): StoreSnapshot {
  const configuration = createConfiguration({version});
  return {
    revision,
    isFull: isWhole,
    changes: [{type: 'configuration', configuration, text: 'text'}],
  };
}

/** Runs a watcher against scripted results until they are used up. */
async function runWatcher(
  fullReads: Call[],
  watches: Call[],
  peerRevision?: number,
) {
  const calls: string[] = [];
  const results: boolean[] = [];
  const clusterState = createClusterState({
    logger: silentLogger,
    decodeConfiguration: () => createConfiguration(),
  });
  if (peerRevision !== undefined) {
    clusterState.applyPeerSnapshot(
      {
        revision: peerRevision,
        confirmedAgeMs: 0,
        version: 1,
        configurationText: 'text',
        evacuated: [],
        sinceRevision: undefined,
        digest: 0,
        servers: [],
        removedServerIds: [],
      },
      0,
    );
  }
  let finish: () => void = () => undefined;
  const finished = new Promise<void>(resolve => {
    finish = resolve;
  });
  function next(name: string, list: Call[], revision: number) {
    calls.push(name);
    const call = list.shift();
    if (!call) {
      finish();
      return new Promise<StoreSnapshot>(() => undefined);
    }
    return call(revision);
  }
  const reader: StoreReader = {
    fetchAll: () => next('all', fullReads, 0),
    watchChanges: revision => next(`watch ${revision}`, watches, revision),
    decodeConfiguration: () => createConfiguration(),
    close: () => undefined,
  };
  const watcher = createStoreWatcher({
    reader,
    clusterState,
    clock: createSystemClock(),
    logger: silentLogger,
    watchMs: WATCH_MS,
    computeDelay: () => 0,
    onRead: isSuccess => results.push(isSuccess),
  });
  watcher.start();
  await Promise.race([finished, waitFor(5000)]);
  watcher.stop();
  return {calls, results, clusterState};
}

const fail = (code: 'platform_unavailable' | 'platform_history_lost') => () =>
  Promise.reject(new RouterError(code, 'no'));

describe('store watcher', () => {
  it('reads the whole state, then watches from its revision', async () => {
    const {calls, clusterState} = await runWatcher(
      [async () => createSnapshot(7, 1, true)],
      [async () => createSnapshot(9, 2, false)],
    );
    assert.equal(calls, ['all', 'watch 7', 'watch 9']);
    assert.is(clusterState.getConfiguration()!.version, 2);
  });

  it('continues from the revision of a state that came from a peer', async () => {
    const {calls} = await runWatcher(
      [async () => createSnapshot(30, 3, true)],
      [async () => createSnapshot(9, 2, false), fail('platform_history_lost')],
      5,
    );
    assert.equal(calls, ['watch 5', 'watch 9', 'all', 'watch 30']);
  });

  it('watches from the same revision again after a failed call', async () => {
    const {calls, results} = await runWatcher(
      [async () => createSnapshot(7, 1, true)],
      [fail('platform_unavailable'), async () => createSnapshot(8, 2, false)],
    );
    assert.equal(calls, ['all', 'watch 7', 'watch 7', 'watch 8']);
    assert.equal(results, [true, false, true]);
  });

  it('reads the whole state again when the history of the store is lost', async () => {
    const {calls} = await runWatcher(
      [
        async () => createSnapshot(7, 1, true),
        async () => createSnapshot(20, 3, true),
      ],
      [fail('platform_history_lost')],
    );
    assert.equal(calls, ['all', 'watch 7', 'all', 'watch 20']);
  });

  // Guards against a key that is accepted for too long: the answer, or a page of it, may
  // be as old as the call.
  // Guards against a configuration that takes seconds to arrive after the store has dropped
  // its history: as a failure, the answer leaves the next read to another instance.
  it('reads at once and counts no failure when the history of the store is lost', async () => {
    const {results} = await runWatcher(
      [
        async () => createSnapshot(7, 1, true),
        async () => createSnapshot(30, 3, true),
      ],
      [fail('platform_history_lost')],
    );
    assert.equal(results, [true, true]);
  });

  it('counts the age of the state from the request of a slow read', async () => {
    const {clusterState} = await runWatcher(
      [
        async () => {
          await waitFor(SLOW_READ_MS);
          return createSnapshot(7, 1, true);
        },
      ],
      [],
    );
    const ageMs = clusterState.computeAge(performance.now());
    assert.ok(ageMs >= SLOW_READ_MS - 1, `${ageMs} ms`);
  });

  it('counts the age from the end of a watch without changes', async () => {
    const {clusterState} = await runWatcher(
      [async () => createSnapshot(7, 1, true)],
      [
        async () => {
          await waitFor(SLOW_READ_MS);
          return {revision: 7, isFull: false, changes: []};
        },
      ],
    );
    const ageMs = clusterState.computeAge(performance.now());
    assert.ok(ageMs >= SLOW_READ_MS - WATCH_MS - 1, `${ageMs} ms`);
  });

  it('retries the first read until it succeeds', async () => {
    const {calls} = await runWatcher(
      [fail('platform_unavailable'), async () => createSnapshot(7, 1, true)],
      [],
    );
    assert.equal(calls, ['all', 'all', 'watch 7']);
  });
});
