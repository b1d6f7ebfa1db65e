import {createRandom} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createColdLimit} from '../src/cold_limit.js';

const TOLERANCE = {requestsPerSecond: 6.6, overage: 1.5, slack: 5};
const MAXIMUM_PER_SECOND = 6.6 * 1.5 + 5;
const SECOND_MS = 1000;
const STEP_MS = 10;

function listInstances(count: number): string[] {
  return Array.from({length: count}, (_, index) => `instance-${index}`);
}

/** Returns the maximum number of requests in any second. */
function countBusiestSecond(times: readonly number[]): number {
  let maximum = 0;
  for (const start of times) {
    const inside = times.filter(t => t >= start && t < start + SECOND_MS);
    maximum = Math.max(maximum, inside.length);
  }
  return maximum;
}

/**
 * Runs instances that send as often as the limit allows. Their member lists
 * differ: each instance is missing from another's with a probability of 5 %.
 */
function runFleet(count: number, seed: number): number[] {
  const random = createRandom(seed);
  const all = listInstances(count);
  const members = all.map(selfId => ({
    limit: createColdLimit({selfId}),
    view: all.filter(id => id === selfId || random.nextFloat() > 0.05),
  }));
  const times: number[] = [];
  for (let now = 0; now < 5 * SECOND_MS; now += STEP_MS) {
    for (const {limit, view} of members) {
      if (limit.take('server-1', TOLERANCE, view, now)) {
        times.push(now);
      }
    }
  }
  return times;
}

describe('cold limit', () => {
  describe('a fleet that sends as much as possible to one cold server', () => {
    for (const count of [1, 2, 6, 8, 88, 420]) {
      it(`stays within the tolerance with ${count} instances`, () => {
        for (const seed of [1, 2, 3]) {
          const maximum = countBusiestSecond(runFleet(count, seed));
          assert.ok(
            maximum <= MAXIMUM_PER_SECOND,
            `${maximum} requests in a second`,
          );
        }
      });
    }

    it('still sends requests to the server', () => {
      assert.ok(runFleet(8, 1).length >= 10);
    });
  });

  describe('instances assigned to a server', () => {
    it('are the same for every instance with the same member list', () => {
      const all = listInstances(20);
      const assigned = all.filter(selfId =>
        createColdLimit({selfId}).isAssigned('server-1', all),
      );
      assert.is(assigned.length, 3);
    });

    it('lose their state for a server that is no longer listed', () => {
      const limit = createColdLimit({selfId: 'instance-0'});
      const view = ['instance-0'];
      assert.ok(limit.take('server-1', TOLERANCE, view, 0));
      assert.not.ok(limit.take('server-1', TOLERANCE, view, 1));
      limit.retain(new Set());
      assert.ok(limit.take('server-1', TOLERANCE, view, 2));
    });
  });
});
