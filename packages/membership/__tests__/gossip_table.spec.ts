/** Gossip table: joining, failure detection, restarts and relayed updates. */
import {createRandom} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createGossipTable} from '../src/gossip_table.js';
import type {GossipRecord} from '../src/gossip_table.js';

const ROUND_MS = 400;

function createRecord(
  id: string,
  round: number,
  incarnation = 'first',
): GossipRecord {
  return {
    instanceId: id,
    incarnation,
    round,
    gossipAddress: `${id}:1`,
    callerAddress: `${id}:2`,
    dataCentre: 'north',
    isReady: true,
    isLeaving: false,
  };
}

function createTable(id: string, seeds: readonly string[]) {
  return createGossipTable({
    selfId: id,
    selfAddress: `${id}:1`,
    seedAddresses: seeds,
  });
}

/** Creates a fleet that loses the given fraction of its datagrams. */
function createFleet(count: number, seed: number, lossRatio: number) {
  const random = createRandom(seed);
  const ids = Array.from({length: count}, (_, index) => `i${index}`);
  const seeds = ids.slice(0, 3).map(id => `${id}:1`);
  const tables = new Map(ids.map(id => [id, createTable(id, seeds)]));
  const stopped = new Set<string>();
  const rounds = new Map<string, number>();
  let now = 0;

  function runRound(): void {
    now += ROUND_MS;
    for (const [id, table] of tables) {
      if (stopped.has(id)) {
        continue;
      }
      const round = (rounds.get(id) ?? 0) + 1;
      rounds.set(id, round);
      const relayed = table.pickRelayed(now, () => random.nextFloat());
      const livenessReports = table.pickLivenessReports(now, () =>
        random.nextFloat(),
      );
      for (const target of table.pickTargets(now, () => random.nextFloat())) {
        const targetId = target.split(':')[0]!;
        if (!stopped.has(targetId) && random.nextFloat() >= lossRatio) {
          tables
            .get(targetId)!
            .receive(createRecord(id, round), relayed, now, livenessReports);
        }
      }
    }
  }

  return {
    stopped,
    runRounds: (rounds: number) => {
      for (let index = 0; index < rounds; index++) {
        runRound();
      }
    },
    listAlive: (id: string) =>
      tables
        .get(id)!
        .listAlive(now)
        .map(member => member.record.instanceId),
    countRecent: (id: string) => tables.get(id)!.listRecentIds(now).length,
    ids,
  };
}

describe('gossip table', () => {
  describe('a fleet that starts from three seeds', () => {
    for (const count of [6, 8, 88]) {
      it(`lists all ${count} instances within six seconds`, () => {
        const fleet = createFleet(count, 7, 0.05);
        fleet.runRounds(15);
        for (const id of fleet.ids) {
          assert.is(fleet.countRecent(id), count, id);
          assert.ok(fleet.listAlive(id).length >= (count - 1) * 0.95, id);
        }
      });
    }

    it('keeps instances alive while a tenth of the datagrams is lost', () => {
      const fleet = createFleet(88, 11, 0.1);
      fleet.runRounds(10);
      for (let round = 0; round < 50; round++) {
        fleet.runRounds(1);
        assert.ok(fleet.listAlive('i5').length >= 86);
      }
    });
  });

  describe('a killed instance', () => {
    for (const [count, limitMs] of [
      [8, 3000],
      [88, 6000],
    ] as const) {
      it(`is not alive after ${limitMs} ms in a fleet of ${count}`, () => {
        const fleet = createFleet(count, 3, 0);
        fleet.runRounds(15);
        fleet.stopped.add('i4');
        fleet.runRounds(limitMs / ROUND_MS);
        for (const id of fleet.ids.filter(other => other !== 'i4')) {
          assert.not.ok(fleet.listAlive(id).includes('i4'));
        }
      });
    }
  });

  describe('a restart', () => {
    it('replaces the earlier incarnation at once', () => {
      const table = createTable('self', []);
      table.receive(createRecord('other', 50), [], 0);
      table.receive(createRecord('other', 1, 'second'), [], 10);
      assert.is(table.listAlive(10)[0]!.record.incarnation, 'second');
    });

    it('is not undone by a late message of the earlier incarnation', () => {
      const table = createTable('self', []);
      table.receive(createRecord('other', 50), [], 0);
      table.receive(createRecord('other', 1, 'second'), [], 10);
      table.receive(createRecord('other', 51), [], 20);
      assert.is(table.listAlive(20)[0]!.record.incarnation, 'second');
    });
  });

  describe('a relayed record', () => {
    it('does not make an unresponsive instance alive', () => {
      const table = createTable('self', []);
      table.receive(createRecord('dead', 5), [], 0);
      const relayed = [{record: createRecord('dead', 5), ageMs: 100}];
      table.receive(createRecord('other', 1), relayed, 5000);
      const alive = table.listAlive(5000).map(m => m.record.instanceId);
      assert.equal(alive, ['other']);
    });

    it('counts from the age that it reports', () => {
      const table = createTable('self', []);
      const relayed = [{record: createRecord('far', 9), ageMs: 4000}];
      table.receive(createRecord('other', 1), relayed, 5000);
      const alive = table.listAlive(5000).map(m => m.record.instanceId);
      assert.equal(alive, ['other']);
    });
  });

  describe('a liveness report', () => {
    function pickLivenessReports(record: GossipRecord, round: number) {
      const sender = createTable('sender', []);
      sender.receive({...record, round}, [], 0);
      // A full mesh sends no liveness reports.
      for (let index = 0; index < 20; index++) {
        sender.receive(createRecord(`filler-${index}`, 1), [], 0);
      }
      return sender
        .pickLivenessReports(0, () => 0)
        .filter(item => item.round === round);
    }

    it('keeps an unchanged instance alive', () => {
      const table = createTable('self', []);
      table.receive(createRecord('far', 5), [], 0);
      const reports = pickLivenessReports(createRecord('far', 0), 9);
      assert.is(reports.length, 1);
      table.receive(createRecord('other', 1), [], 5000, reports);
      assert.is(table.listAlive(5000).length, 2);
    });

    it('is ignored if the instance has changed since', () => {
      const table = createTable('self', []);
      table.receive(createRecord('far', 5), [], 0);
      const reports = pickLivenessReports(
        {...createRecord('far', 0), isLeaving: true},
        9,
      );
      table.receive(createRecord('other', 1), [], 5000, reports);
      assert.is(table.listAlive(5000).length, 1);
    });

    it('is ignored if its round is older than the stored one', () => {
      const table = createTable('self', []);
      table.receive(createRecord('far', 5), [], 0);
      const reports = pickLivenessReports(createRecord('far', 0), 4);
      table.receive(createRecord('other', 1), [], 5000, reports);
      assert.is(table.listAlive(5000).length, 1);
    });
  });

  it('lists an instance until it is removed', () => {
    const table = createTable('self', []);
    table.receive(createRecord('other', 1), [], 0);
    assert.equal(table.listRecentIds(10_000), ['other', 'self']);
    assert.equal(table.listRecentIds(16_000), ['self']);
  });

  it('contacts seeds again while they match no instance', () => {
    const table = createTable('self', ['seed:1', 'self:1']);
    const targets = [1, 2, 3].flatMap(now => table.pickTargets(now, () => 0));
    assert.equal(targets, ['seed:1', 'seed:1']);
  });
});
