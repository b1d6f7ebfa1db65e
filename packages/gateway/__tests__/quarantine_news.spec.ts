/** News of the prompt quarantine: their encoding, and their way through a fleet. */
import {createRandom} from '@buckthornbeam/shared';
import {PromptVerdict} from '@buckthornbeam/decisions';
import type {QuarantineNews} from '@buckthornbeam/decisions';
import {describe, it} from '@buckthornbeam/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {decodeNews, encodeNews} from '../src/peers/quarantine_news.js';
import {createGossipFleet} from './support/gossip_fleet.js';
import type {FleetInstance} from './support/gossip_fleet.js';

const uint32 = fc.integer({min: 0, max: 0xffffffff});
const ageMs = fc.integer({min: 0, max: 4_000_000}).map(age => age * 4);
const blocks = fc.array(uint32, {minLength: 1, maxLength: 60});
const NOW = 20_000_000;

const newsItem: fc.Arbitrary<QuarantineNews> = fc.oneof(
  fc.record({
    kind: fc.constant('crash' as const),
    serverHash: uint32,
    requestHash: uint32,
    customerHash: uint32,
    blockHashes: blocks,
    hasBegun: fc.boolean(),
    at: ageMs.map(age => NOW - age),
  }),
  fc.record({
    kind: fc.constant('answer' as const),
    blockHashes: blocks,
    at: ageMs.map(age => NOW - age),
  }),
  fc.record({
    kind: fc.constant('entry' as const),
    blockHashes: blocks,
    customerHashes: fc.array(uint32, {maxLength: 2}),
    relapses: fc.integer({min: 0, max: 30}),
    crashedAt: ageMs.map(age => NOW - age),
  }),
);

describe('quarantine news', () => {
  it('are decoded as encoded', () => {
    fc.assert(
      fc.property(fc.array(newsItem, {maxLength: 8}), news => {
        assert.equal(
          decodeNews(encodeNews(news, NOW), NOW),
          news.map(item => ({...item})),
        );
      }),
    );
  });

  it('that are not valid are left out', () => {
    fc.assert(
      fc.property(fc.array(uint32, {maxLength: 40}), packed => {
        for (const item of decodeNews(packed, NOW)) {
          assert.ok(item.blockHashes.length > 0);
        }
      }),
    );
  });

  const COMMON = 1;
  const DEADLY = 2;
  const SETTLED_MS = 12_000;
  /** Shortest contact time of a deployment, in which all must refuse. */
  const CONTACT_MS = 3000;

  function isRefusing({quarantine}: FleetInstance, now: number): boolean {
    const prompt = {
      requestHash: 0,
      blockHashes: [COMMON, DEADLY],
      customerHash: 9,
    };
    return quarantine.check(prompt, now) === PromptVerdict.QUARANTINED;
  }

  function createFleet(count: number) {
    const fleet = createGossipFleet({count, lossRatio: 0.02, seed: 7});
    fleet.run(SETTLED_MS);
    return fleet;
  }

  let lastHash = 100;

  function recordCrash(instance: FleetInstance, now: number): void {
    lastHash += 1;
    instance.quarantine.recordCrash({
      serverHash: lastHash,
      requestHash: lastHash,
      customerHash: lastHash,
      blockHashes: [COMMON, DEADLY],
      hasBegun: true,
      at: now,
    });
  }

  for (const count of [8, 88, 195]) {
    // BUDGET: with many instances each of them sees a single crash.
    it(`reach all of ${count} instances in the contact time after two crashes at different ones`, () => {
      const fleet = createFleet(count);
      const [first, second, third] = fleet.instances as [
        FleetInstance,
        FleetInstance,
        FleetInstance,
      ];
      recordCrash(first, fleet.now);
      fleet.run(300);
      recordCrash(second, fleet.now);
      third.quarantine.recordAnswer([COMMON], fleet.now + 1);
      const tookMs = fleet.runUntil(
        () => fleet.instances.every(item => isRefusing(item, fleet.now)),
        CONTACT_MS,
      );
      assert.ok(tookMs <= CONTACT_MS, `${tookMs} ms`);
      fleet.run(CONTACT_MS);
      const sound = {requestHash: 0, blockHashes: [COMMON], customerHash: 9};
      for (const {quarantine} of fleet.instances) {
        assert.not.equal(
          quarantine.check(sound, fleet.now),
          PromptVerdict.QUARANTINED,
        );
      }
    });
  }

  it('reach an instance that has been restarted', () => {
    const fleet = createFleet(30);
    const [first, second] = fleet.instances as [FleetInstance, FleetInstance];
    recordCrash(first, fleet.now);
    fleet.run(1000);
    recordCrash(second, fleet.now);
    fleet.run(2000);
    fleet.restart(first);
    const tookMs = fleet.runUntil(() => isRefusing(first, fleet.now), 10_000);
    assert.ok(tookMs <= 2 * CONTACT_MS, `${tookMs} ms`);
  });

  /**
   * Sends requests with the block to random instances and servers, at which they
   * wait before the servers end; returns the numbers of ended servers and of
   * requests sent in the contact time after the fifth, or later.
   */
  function runDeadlyRequests(count: number, perSecond: number) {
    const fleet = createFleet(count);
    const random = createRandom(3);
    const endsAt = fleet.now + 30_000;
    const pending: Array<{at: number; instance: FleetInstance}> = [];
    const crashedAt: number[] = [];
    let sentLate = 0;
    while (fleet.now < endsAt) {
      fleet.run(50);
      if (random.nextFloat() < perSecond * 0.05) {
        const index = Math.floor(random.nextFloat() * count);
        const instance = fleet.instances[index]!;
        if (!isRefusing(instance, fleet.now)) {
          const waitMs = 150 + random.nextFloat() * 800;
          pending.push({at: fleet.now + waitMs, instance});
          if (fleet.now > (crashedAt[4] ?? Infinity) + CONTACT_MS) {
            sentLate += 1;
          }
        }
      }
      for (const item of pending.splice(0)) {
        if (item.at > fleet.now) {
          pending.push(item);
        } else if (!isRefusing(item.instance, fleet.now)) {
          recordCrash(item.instance, fleet.now);
          crashedAt.push(fleet.now);
        }
      }
    }
    return {ended: crashedAt.length, sentLate};
  }

  for (const [count, perSecond] of [
    [8, 0.5],
    [8, 6],
    [88, 1],
    [88, 6],
  ] as const) {
    it(`stop ${perSecond} requests a second at ${count} instances`, () => {
      const {ended, sentLate} = runDeadlyRequests(count, perSecond);
      assert.is(sentLate, 0);
      assert.ok(ended >= 2 && ended <= 2 + 3 * perSecond, `${ended} ended`);
    });
  }
});
