/**
 * A store that is restored from an older copy. Without these rules an accepted
 * configuration reverts, an evacuated data centre gets requests again, and servers whose
 * entries are lost for a moment are taken as gone.
 */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {isPeerAhead} from '../src/peers/cluster_state_exchange.js';
import type {StoreChange} from '../src/ports.js';
import {createClusterState} from '../src/state/cluster_state.js';
import type {ClusterState} from '../src/state/cluster_state.js';
import {
  buildStorePosition,
  getStoreEpoch,
  getStoreRevision,
} from '../src/state/store_position.js';
import {
  createConfiguration,
  createServerEntry,
  silentLogger,
} from './support/fixtures.js';

const older = createConfiguration({version: 5});
const newer = createConfiguration({version: 6});
const evacuation: StoreChange = {
  type: 'evacuation',
  dataCentre: 'south',
  isEvacuated: true,
};

function buildConfigurationChange(configuration: typeof older): StoreChange {
  return {type: 'configuration', configuration, text: 'text'};
}

function buildServerChange(
  id: string,
  changes: Parameters<typeof createServerEntry>[0] = {},
): StoreChange {
  return {type: 'server', server: createServerEntry({id, ...changes})};
}

function applyFull(
  state: ClusterState,
  epoch: number,
  revision: number,
  changes: readonly StoreChange[],
  now: number,
): void {
  state.applyStoreSnapshot(
    {revision: buildStorePosition(epoch, revision), changes, isFull: true},
    now,
  );
}

/** Creates the state of an instance that read version 6 in epoch 1. */
function createState(changes: readonly StoreChange[] = []): ClusterState {
  const state = createClusterState({
    logger: silentLogger,
    decodeConfiguration: () => newer,
  });
  applyFull(
    state,
    1,
    50,
    [
      buildConfigurationChange(newer),
      buildServerChange('s1'),
      buildServerChange('s2'),
      ...changes,
    ],
    0,
  );
  return state;
}

function listIds(state: ClusterState): string[] {
  return state.listServers('service').map(({server}) => server.id);
}

describe('store positions', () => {
  it('of a later epoch are greater, whatever the revision', () => {
    assert.ok(buildStorePosition(2, 3) > buildStorePosition(1, 900_000_000));
    const position = buildStorePosition(8191, 2 ** 40 - 1);
    assert.ok(Number.isSafeInteger(position));
    assert.is(getStoreEpoch(position), 8191);
    assert.is(getStoreRevision(position), 2 ** 40 - 1);
  });

  it('without an epoch are the revisions', () => {
    assert.is(buildStorePosition(0, 41), 41);
  });
});

describe('a store restored from an older copy', () => {
  it('does not revert an accepted configuration', () => {
    const state = createState();
    const copy = [buildConfigurationChange(older), buildServerChange('s1')];
    applyFull(state, 2, 44, copy, 1000);
    assert.is(state.getConfiguration()!.version, 6);
    assert.is(state.getRevision(), buildStorePosition(2, 44));
  });

  it('keeps servers that the copy lacks until they can be back', () => {
    const state = createState();
    applyFull(state, 2, 44, [buildServerChange('s1')], 1000);
    assert.equal(listIds(state), ['s1', 's2']);
    applyFull(state, 2, 46, [buildServerChange('s1')], 4000);
    assert.equal(listIds(state), ['s1']);
  });

  it('keeps an evacuation that the copy lacks until it is written again', () => {
    const state = createState([
      evacuation,
      buildServerChange('s3', {dataCentre: 'south'}),
    ]);
    const copy = [
      buildServerChange('s1'),
      buildServerChange('s3', {dataCentre: 'south'}),
    ];
    applyFull(state, 2, 44, copy, 1000);
    assert.not.ok(listIds(state).includes('s3'));
    applyFull(state, 2, 47, [...copy, evacuation], 3000);
    applyFull(state, 2, 49, copy, 5000);
    assert.ok(listIds(state).includes('s3'), 'its end is followed');
  });

  it('ends an evacuation that nobody writes again', () => {
    const south = buildServerChange('s3', {dataCentre: 'south'});
    const state = createState([evacuation, south]);
    applyFull(state, 2, 44, [south], 1000);
    applyFull(state, 2, 48, [south], 12_000);
    assert.ok(listIds(state).includes('s3'));
  });

  // Guards against an evacuation that ends for the whole fleet: this instance did not read
  // the change that writes it again, since a peer did.
  it('keeps an evacuation that a peer has read again', () => {
    const south = buildServerChange('s3', {dataCentre: 'south'});
    const state = createState([evacuation, south]);
    applyFull(state, 2, 44, [buildServerChange('s1'), south], 1000);
    const revision = buildStorePosition(2, 47);
    state.confirmByPeer(
      {revision, version: 6, confirmedAgeMs: 0, digest: state.computeDigest()},
      3000,
    );
    state.applyStoreSnapshot({revision, changes: [], isFull: false}, 12_000);
    assert.not.ok(listIds(state).includes('s3'));
    assert.ok(state.isFullReadDue(12_000));
    applyFull(state, 2, 48, [evacuation, south], 12_500);
    assert.not.ok(listIds(state).includes('s3'));
    assert.not.ok(state.isFullReadDue(12_500));
  });

  // Guards against the copy's state that is taken at once by an instance which heard of
  // the restore from a peer.
  it('keeps what the copy lacks if a peer brings the new epoch', () => {
    const south = buildServerChange('s3', {dataCentre: 'south'});
    const state = createState([evacuation, south]);
    state.applyStoreSnapshot(
      {
        revision: buildStorePosition(1, 51),
        changes: [buildServerChange('s1', {isDraining: true})],
        isFull: false,
      },
      500,
    );
    const peer = createState([south]);
    applyFull(
      peer,
      2,
      44,
      [buildServerChange('s1'), buildServerChange('s2'), south],
      1000,
    );
    const request = {version: 6, revision: undefined};
    state.applyPeerSnapshot(peer.buildSnapshot(request, 1000)!, 1000);
    assert.is(state.getRevision(), buildStorePosition(2, 44));
    assert.equal(listIds(state), ['s2']);
  });

  // Guards against a listing of the former store that arrives after the restore.
  it('rejects a full read of an earlier epoch', () => {
    const state = createState([evacuation]);
    applyFull(state, 2, 44, [evacuation, buildServerChange('s1')], 1000);
    assert.throws(() => applyFull(state, 1, 60, [], 2000), /epoch 1 after 2/);
    assert.ok(listIds(state).includes('s1'));
  });

  it('keeps a server leaving that the copy lists as ready', () => {
    const state = createState();
    state.applyStoreSnapshot(
      {
        revision: buildStorePosition(1, 51),
        changes: [buildServerChange('s1', {isDraining: true})],
        isFull: false,
      },
      500,
    );
    applyFull(
      state,
      2,
      44,
      [buildServerChange('s1'), buildServerChange('s2')],
      1000,
    );
    assert.equal(listIds(state), ['s2']);
    const restarted = buildServerChange('s1', {startedAt: 2});
    applyFull(state, 2, 46, [restarted, buildServerChange('s2')], 2000);
    assert.equal(listIds(state).sort(), ['s1', 's2'], 'a new life is ready');
  });

  // An instance that starts after the restore reads keys that were revoked before it.
  it('gives a new instance the later configuration of a peer', () => {
    const peer = createState();
    const started = createClusterState({
      logger: silentLogger,
      decodeConfiguration: () => newer,
    });
    applyFull(started, 2, 44, [buildConfigurationChange(older)], 1000);
    const summary = {
      version: 6,
      revision: peer.getRevision(),
      digest: peer.computeDigest(),
      confirmedAgeMs: 0,
    };
    assert.ok(isPeerAhead(summary, started));
    started.applyPeerSnapshot(
      peer.buildSnapshot(started.describeRequest(), 1000)!,
      1000,
    );
    assert.is(started.getConfiguration()!.version, 6);
    assert.is(started.getRevision(), buildStorePosition(2, 44));
    assert.not.ok(isPeerAhead(summary, started));
  });
});
