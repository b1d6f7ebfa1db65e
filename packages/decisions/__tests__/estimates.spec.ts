import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {createRandom} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import {
  createLeadTime,
  createOutputEstimator,
  createRetryBudget,
  createSlowServerDetector,
  createTokenBucket,
  placeRequest,
  splitRate,
} from '../src/index.js';
import type {PlacementCandidate} from '../src/index.js';

const SEED = 20261204;
const key = {className: 'c', customerId: 'u', model: 'm'};

describe('output estimator', () => {
  it('estimates a quantile of the latest answers', () => {
    const lengths = fc.array(fc.integer({min: 1, max: 2000}), {
      minLength: 8,
      maxLength: 200,
    });
    fc.assert(
      fc.property(lengths, list => {
        const estimator = createOutputEstimator({
          quantile: 0.8,
          windowSize: 64,
        });
        list.forEach(tokens => estimator.observe(key, tokens));
        const estimate = estimator.estimate(key, 10_000);
        const window = list.slice(-64);
        const covered = window.filter(tokens => tokens <= estimate).length;
        assert.ok(covered >= 0.8 * window.length);
        assert.ok(window.includes(estimate));
        assert.ok(estimator.estimate(key, 100) <= 100);
      }),
      {seed: SEED, numRuns: 200},
    );
  });

  it('uses the answers of the class for a customer without any', () => {
    const estimator = createOutputEstimator();
    assert.is(estimator.estimate(key, 500), 500);
    for (let count = 0; count < 8; count++) {
      estimator.observe(key, 50);
    }
    assert.is(estimator.estimate({...key, customerId: 'other'}, 500), 50);
  });
});

describe('customer rates', () => {
  it('admits no more than the rate over all instances', () => {
    const calls = fc.array(
      fc.record({
        instance: fc.nat({max: 5}),
        tokens: fc.integer({min: 1, max: 60}),
        ms: fc.nat({max: 200}),
      }),
      {maxLength: 300},
    );
    fc.assert(
      fc.property(calls, list => {
        const rate = {tokensPerSecond: 600, burstTokens: 1200};
        const buckets = Array.from({length: 6}, () =>
          createTokenBucket(splitRate(rate, 6)),
        );
        let now = 0;
        let admitted = 0;
        for (const {instance, tokens, ms} of list) {
          now += ms;
          if (buckets[instance]!.take(tokens, now) === 0) {
            admitted += tokens;
          }
        }
        assert.ok(admitted <= 1200 + (600 * now) / 1000 + 1e-6);
      }),
      {seed: SEED, numRuns: 200},
    );
  });

  it('bounds retries by the budget of the class', () => {
    fc.assert(
      fc.property(fc.array(fc.boolean(), {maxLength: 500}), list => {
        const budget = createRetryBudget();
        let requests = 0;
        let retries = 0;
        for (const isRetry of list) {
          if (isRetry) {
            retries += Number(budget.take());
          } else {
            requests += 1;
            budget.record(0.1);
          }
        }
        assert.ok(retries <= 10 + 0.1 * requests + 1e-6);
      }),
      {seed: SEED, numRuns: 200},
    );
  });
});

describe('slow server detector', () => {
  const makeRates = (last: number) =>
    new Map([
      ['a', 50],
      ['b', 48],
      ['c', 52],
      ['d', last],
    ]);

  it('changes its verdict only after consecutive observations', () => {
    const detector = createSlowServerDetector({confirmations: 3});
    for (const rate of [10, 10, 40, 10, 10]) {
      detector.observe(makeRates(rate));
      assert.not(detector.isSlow('d'));
    }
    detector.observe(makeRates(10));
    assert.ok(detector.isSlow('d'));
  });

  it('keeps its verdict between the two ratios', () => {
    const detector = createSlowServerDetector({confirmations: 1});
    detector.observe(makeRates(30));
    assert.not(detector.isSlow('d'));
    detector.observe(makeRates(10));
    detector.observe(makeRates(30));
    assert.ok(detector.isSlow('d'));
    detector.observe(makeRates(45));
    assert.not(detector.isSlow('d'));
  });
});

const candidates: fc.Arbitrary<PlacementCandidate[]> = fc
  .array(
    fc.record({
      limit: fc.integer({min: 1, max: 16}),
      inFlight: fc.nat({max: 16}),
      queued: fc.nat({max: 20}),
      sentSince: fc.nat({max: 3}),
      expectedWaitMs: fc.nat({max: 5000}),
      msPerToken: fc.integer({min: 5, max: 200}),
      isSlowServer: fc.boolean(),
      lowestTier: fc.nat({max: 4}),
      ageMs: fc.constantFrom(0, 500),
    }),
    {minLength: 1, maxLength: 13},
  )
  .map(list => list.map((item, index) => ({...item, serverId: `s-${index}`})));

describe('placement', () => {
  const request = {tier: 1, betweenTokensMs: 35};
  const isFree = (item: PlacementCandidate) =>
    item.inFlight + item.queued + item.sentSince < item.limit;
  const isFastEnough = (item: PlacementCandidate) =>
    !item.isSlowServer || item.msPerToken <= 35;

  it('uses free capacity first, then servers with lower tiers', () => {
    fc.assert(
      fc.property(candidates, fc.integer(), (list, seed) => {
        const fastEnough = list.filter(isFastEnough);
        const pool = fastEnough.length > 0 ? fastEnough : list;
        const placed = placeRequest(list, request, createRandom(seed))!;
        assert.ok(pool.includes(placed));
        if (pool.some(isFree)) {
          assert.ok(isFree(placed));
        } else if (pool.some(item => item.lowestTier > 1)) {
          assert.ok(placed.lowestTier > 1);
        }
      }),
      {seed: SEED, numRuns: 300},
    );
  });

  it('uses the server of the prompt prefix only below the load ratio', () => {
    fc.assert(
      fc.property(candidates, fc.integer(), (list, seed) => {
        const prefixServerId = list[0]!.serverId;
        const placed = placeRequest(
          list,
          {...request, prefixServerId},
          createRandom(seed),
        )!;
        const {
          inFlight,
          queued,
          sentSince,
          limit,
          isSlowServer: isStraggler,
        } = list[0]!;
        const load = (inFlight + queued + sentSince) / limit;
        assert.ok(
          load >= 0.75 || isStraggler || placed.serverId === prefixServerId,
        );
      }),
      {seed: SEED, numRuns: 300},
    );
  });

  it('compares two random servers when every summary is stale', () => {
    const base = {inFlight: 0, queued: 0, sentSince: 0, expectedWaitMs: 0};
    const list = Array.from({length: 6}, (_, index) => ({
      ...base,
      serverId: `s-${index}`,
      limit: 16,
      inFlight: index,
      msPerToken: 20,
      isSlowServer: false,
      lowestTier: 0,
      ageMs: 2000,
    }));
    const random = createRandom(SEED);
    const chosen = new Set<string>();
    for (let count = 0; count < 100; count++) {
      chosen.add(placeRequest(list, request, random)!.serverId);
    }
    assert.ok(chosen.size >= 4, 'requests spread over the servers');
    assert.not(chosen.has('s-5'), 'the more loaded of a pair is not chosen');
  });
});

describe('lead time', () => {
  it('covers stable samples, adapts to a change and stays within its bounds', () => {
    const lead = createLeadTime({minimumMs: 100, maximumMs: 2000});
    assert.is(lead.ms, 100);
    for (let count = 0; count < 40; count++) {
      lead.observe(300 + (count % 2) * 100);
    }
    assert.ok(lead.ms >= 400 && lead.ms <= 500, String(lead.ms));
    for (let count = 0; count < 60; count++) {
      lead.observe(20);
    }
    assert.is(lead.ms, 100);
    lead.observe(1e6);
    assert.is(lead.ms, 2000);
  });
});
