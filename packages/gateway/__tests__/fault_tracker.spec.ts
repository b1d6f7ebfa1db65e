/**
 * Servers that fail their work while they report to be healthy. When each instance learns
 * of them by its own failures, a fleet of 86 pays for 13 such servers hundreds of times.
 */
import {selectSoundServers} from '@buckthornbeam/decisions';
import {createRandom} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  createFleetSums,
  decodeSums,
  encodeSums,
} from '../src/peers/fleet_sums.js';
import type {SumRow} from '../src/peers/fleet_sums.js';
import {createFaultTracker} from '../src/state/fault_tracker.js';
import type {FaultTracker} from '../src/state/fault_tracker.js';
import {silentLogger} from './support/fixtures.js';

const ROUND_MS = 250;
const TICK_MS = 5;
/** Requests that may run once only, of all instances. */
const REQUESTS_PER_TICK = 1.5;

interface Fleet {
  trackers: FaultTracker[];
  groups: FaultTracker[][];
}

function createFleet(count: number, groupCount: number): Fleet {
  const trackers = Array.from({length: count}, () =>
    createFaultTracker({logger: silentLogger}),
  );
  const groups = Array.from({length: groupCount}, (_, group) =>
    trackers.filter((_tracker, index) => index % groupCount === group),
  );
  return {trackers, groups};
}

/** Plays one round of reports, group sums and totals; the first publishes. */
function runRound({groups}: Fleet, now: number): void {
  for (const group of groups) {
    group
      .slice(1)
      .forEach((tracker, index) =>
        group[0]!.exchange.receiveReport(
          `member-${index}`,
          tracker.exchange.buildReport(now),
          now,
        ),
      );
  }
  groups.forEach((group, key) =>
    groups
      .filter(other => other !== group)
      .forEach(other =>
        other[0]!.exchange.receiveGroupSum(
          `group-${key}`,
          group[0]!.exchange.buildGroupSum(now),
          now,
        ),
      ),
  );
  for (const group of groups) {
    const totals = group[0]!.exchange.buildTotals(now);
    group
      .slice(1)
      .forEach(tracker => tracker.exchange.receiveTotals(totals, now));
  }
}

/** Sends requests at random for a time; returns the failures by faulty server. */
function countFailures(
  fleet: Fleet,
  servers: readonly string[],
  faulty: ReadonlySet<string>,
  durationMs: number,
): Map<string, number> {
  const random = createRandom(7);
  const failures = new Map<string, number>();
  let due = 0;
  for (let now = 0; now < durationMs; now += TICK_MS) {
    if (now % ROUND_MS === 0) {
      runRound(fleet, now);
    }
    for (due += REQUESTS_PER_TICK; due >= 1; due -= 1) {
      const tracker = fleet.trackers[random.nextInt(fleet.trackers.length)]!;
      const sound = selectSoundServers(
        servers,
        id => tracker.isFaulty(id, now),
        false,
      );
      const id = sound[random.nextInt(sound.length)]!;
      tracker.record(id, faulty.has(id), now);
      if (faulty.has(id)) {
        failures.set(id, (failures.get(id) ?? 0) + 1);
      }
    }
  }
  return failures;
}

describe('faulty servers', () => {
  describe('of a fleet of 86 instances, 13 of 63', () => {
    it('are found within ten failures of the whole fleet', () => {
      const servers = Array.from({length: 63}, (_, index) => `s${index}`);
      const faulty = new Set(servers.slice(0, 13));
      const failures = countFailures(createFleet(86, 3), servers, faulty, 2500);
      const most = Math.max(...failures.values());
      assert.ok(most <= 10, `${most} failures at one server`);
    });
  });

  describe('once they are sound again', () => {
    it('are used again after the faults have decayed', () => {
      const [tracker] = createFleet(1, 1).trackers;
      for (let i = 0; i < 5; i++) {
        tracker!.record('s1', true, 0);
      }
      assert.ok(tracker!.isFaulty('s1', 100));
      assert.not.ok(tracker!.isFaulty('s1', 3000));
    });

    it('are used again sooner by sound answers of repeatable requests', () => {
      const [tracker] = createFleet(1, 1).trackers;
      for (let i = 0; i < 5; i++) {
        tracker!.record('s1', true, 0);
      }
      for (let i = 0; i < 10; i++) {
        tracker!.record('s1', false, 100);
      }
      assert.not.ok(tracker!.isFaulty('s1', 130));
    });
  });

  // Without the others' load the sound rest would be overrun.
  it('are all kept if a third or more of the servers fail', () => {
    const servers = ['a', 'b', 'c'];
    assert.equal(
      selectSoundServers(servers, id => id === 'a', false),
      servers,
    );
    assert.equal(
      selectSoundServers([...servers, 'd'], id => id === 'a', false),
      ['b', 'c', 'd'],
    );
  });

  it('get requests that may be repeated elsewhere', () => {
    assert.is(
      selectSoundServers(['a', 'b', 'c', 'd'], id => id === 'a', true).length,
      4,
    );
  });
});

describe('fleet sums', () => {
  it('do not count an own report twice that the totals contain', () => {
    const sums = createFleetSums({listOwn: () => [[1, 4, 8]]});
    sums.receiveTotals([[1, 6, 20]], 0);
    assert.equal(sums.find(1, 0), [6, 20]);
  });

  it('expire when no more are received', () => {
    const sums = createFleetSums({listOwn: () => []});
    sums.receiveGroupSum('group', [[1, 4, 8]], 0);
    assert.equal(sums.find(1, 1000), [4, 8]);
    assert.is(sums.find(1, 1600), undefined);
  });

  it('are dropped after a suspension', () => {
    const sums = createFleetSums({listOwn: () => []});
    sums.receiveTotals([[1, 4, 8]], 0);
    sums.clearReceived();
    assert.is(sums.find(1, 0), undefined);
  });

  it('keep their values when they are sent, without an incomplete row', () => {
    const rows: SumRow[] = [
      [0xffffffff, 2.5, 8],
      [7, 0.25, 1],
    ];
    const bytes = encodeSums(rows);
    assert.equal(decodeSums(bytes, 2), rows);
    assert.equal(decodeSums(bytes.subarray(0, 11), 2), rows.slice(0, 1));
    assert.is(encodeSums([]).length, 0);
  });
});
