/** What an instance believes of the store. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import type {StoreChange} from '../src/ports.js';
import type {Knowledge} from '../src/state/knowledge.js';
import {
  createConfiguration,
  createFilledKnowledge,
  createServerEntry,
} from './support/fixtures.js';

function listIds(knowledge: Knowledge, now: number): string[] {
  return knowledge.listServers('service', now).map(known => known.server.id);
}

function apply(
  knowledge: Knowledge,
  changes: readonly StoreChange[],
  now: number,
  isWhole = false,
): void {
  knowledge.applyReading({revision: 11, changes, isWhole}, now);
}

function createFilled() {
  return createFilledKnowledge(createConfiguration({version: 5}), [
    createServerEntry({id: 's1'}),
    createServerEntry({id: 's2', dataCentre: 'south'}),
  ]);
}

describe('knowledge', () => {
  describe('configurations', () => {
    it('are never replaced by an older one', () => {
      const knowledge = createFilled();
      const older = createConfiguration({version: 4});
      apply(
        knowledge,
        [{type: 'configuration', configuration: older, text: ''}],
        1,
      );
      assert.is(knowledge.getConfiguration()!.version, 5);
    });

    it('of a peer that has seen less are not taken', () => {
      const knowledge = createFilled();
      knowledge.applySnapshot(
        {
          revision: 3,
          confirmedAgeMs: 0,
          version: 9,
          configurationText: 'text',
          evacuated: [],
          servers: [],
        },
        1,
      );
      assert.is(listIds(knowledge, 1).length, 2);
    });
  });

  describe('age', () => {
    it('counts from the last answer of the store', () => {
      const knowledge = createFilled();
      assert.is(knowledge.computeAge(700), 700);
      apply(knowledge, [], 1000);
      assert.is(knowledge.computeAge(1200), 200);
    });

    it('counts a peer with the same version, less the peer age', () => {
      const knowledge = createFilled();
      knowledge.confirmByPeer(5, 300, 2000);
      assert.is(knowledge.computeAge(2000), 300);
    });

    it('does not count a peer with another version', () => {
      const knowledge = createFilled();
      knowledge.confirmByPeer(6, 0, 2000);
      assert.is(knowledge.computeAge(2000), 2000);
    });

    it('is without bound after a suspension', () => {
      const knowledge = createFilled();
      knowledge.distrustAge();
      assert.is(knowledge.computeAge(1), Infinity);
    });

    it('of a snapshot is the age at the peer', () => {
      const knowledge = createFilled();
      const peer = createFilled();
      apply(peer, [], 500);
      const snapshot = peer.buildSnapshot(5, 900)!;
      assert.is(snapshot.configurationText, '');
      knowledge.applySnapshot(snapshot, 3000);
      assert.is(knowledge.computeAge(3000), 400);
    });
  });

  describe('servers', () => {
    it('that drain or are gone get nothing more', () => {
      const knowledge = createFilled();
      const draining = createServerEntry({id: 's1', isDraining: true});
      apply(knowledge, [{type: 'server', server: draining}], 1);
      apply(knowledge, [{type: 'server_gone', serverId: 's2'}], 2);
      assert.equal(listIds(knowledge, 3), []);
    });

    it('that lapse with the store are kept until they could be back', () => {
      const knowledge = createFilled();
      knowledge.recordDisturbance(1000);
      apply(knowledge, [], 1500, true);
      assert.equal(listIds(knowledge, 3400), ['s1', 's2']);
      assert.equal(listIds(knowledge, 3600), []);
    });

    it('that come back after a lapse stay', () => {
      const knowledge = createFilled();
      knowledge.recordDisturbance(1000);
      apply(knowledge, [{type: 'server_gone', serverId: 's1'}], 1500);
      apply(knowledge, [{type: 'server', server: createServerEntry()}], 2500);
      assert.ok(listIds(knowledge, 9000).includes('s1'));
    });

    it('of an evacuated data centre get nothing, and are cold afterwards', () => {
      const knowledge = createFilled();
      const setEvacuated = (isEvacuated: boolean) =>
        ({type: 'evacuation', dataCentre: 'south', isEvacuated}) as const;
      apply(knowledge, [setEvacuated(true)], 1);
      assert.equal(listIds(knowledge, 2), ['s1']);
      apply(knowledge, [setEvacuated(false)], 5000);
      assert.equal(listIds(knowledge, 5001), ['s1', 's2']);
      assert.is(knowledge.findServer('s2')!.coldUntil, 8000);
    });

    it('that start again under their name begin anew', () => {
      const knowledge = createFilled();
      const again = createServerEntry({startedAt: 2, coldLeftMs: 1000});
      apply(knowledge, [{type: 'server', server: again}], 4000);
      assert.is(knowledge.findServer('s1')!.coldUntil, 5000);
    });
  });

  describe('digest', () => {
    it('is equal for equal content and differs with a change', () => {
      const one = createFilled();
      const other = createFilled();
      assert.is(one.computeDigest(), other.computeDigest());
      apply(one, [{type: 'server_gone', serverId: 's2'}], 1);
      assert.is.not(one.computeDigest(), other.computeDigest());
    });
  });
});
