import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {
  computeJainIndex,
  computeMaxMinShares,
} from '../src/measure/fairness.js';
import {planArrivals} from '../src/measure/traffic.js';

const SEED = 20261204;

const trafficOptions = {
  seed: 7,
  seconds: 200,
  customerIds: ['large', 'small'],
  classes: [
    {className: 'a', model: 'm', tokensPerSecond: 300, maximumTokens: 40},
    {className: 'b', model: 'm', tokensPerSecond: 60, maximumTokens: 80},
  ],
};

describe('planned traffic', () => {
  it('is reproducible by its seed and differs between seeds', () => {
    const first = planArrivals(trafficOptions);
    assert.equal(planArrivals(trafficOptions), first);
    assert.not.equal(planArrivals({...trafficOptions, seed: 8}), first);
  });

  it('offers the requested load ordered by time, mostly from the largest customer', () => {
    const arrivals = planArrivals(trafficOptions);
    const times = arrivals.map(item => item.atMs);
    assert.equal(
      [...times].sort((a, b) => a - b),
      times,
    );
    const ofA = arrivals.filter(item => item.className === 'a').length;
    // 10 requests per second; allows five standard deviations of a Poisson count.
    assert.ok(Math.abs(ofA - 2000) < 5 * Math.sqrt(2000), String(ofA));
    const large = arrivals.filter(item => item.customerId === 'large').length;
    assert.ok(large > arrivals.length / 2);
  });
});

describe('fairness measures', () => {
  it('give a Jain index of 1 for equal values and 1/n for a single recipient', () => {
    assert.is(computeJainIndex([3, 3, 3, 3]), 1);
    assert.is(computeJainIndex([5, 0, 0, 0]), 0.25);
  });

  it('divide a total max-min fairly by weight', () => {
    const customers = fc.array(
      fc.record({
        demand: fc.integer({min: 1, max: 1000}),
        weight: fc.integer({min: 1, max: 4}),
      }),
      {minLength: 1, maxLength: 10},
    );
    fc.assert(
      fc.property(customers, fc.integer({min: 1, max: 5000}), (list, total) => {
        const shares = computeMaxMinShares(list, total);
        const demand = list.reduce((sum, item) => sum + item.demand, 0);
        const allotted = shares.reduce((sum, share) => sum + share, 0);
        assert.ok(Math.abs(allotted - Math.min(total, demand)) < 1e-6);
        // A customer with an unmet demand has the highest share per weight.
        const levels = shares.map((share, i) => share / list[i]!.weight);
        const highest = Math.max(...levels);
        list.forEach((item, i) => {
          const isSatisfied = shares[i]! >= item.demand - 1e-6;
          assert.ok(isSatisfied || levels[i]! >= highest - 1e-6);
        });
      }),
      {seed: SEED, numRuns: 300},
    );
  });
});
