/** Budget of repeated sends over a whole fleet. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createRepeatBudget} from '../src/repeat_budget.js';

const FLEET = {ratio: 0.2, extra: 56, windowMs: 10_000};

describe('repeat budget', () => {
  describe('callers that repeat at once while servers fail', () => {
    for (const instances of [1, 6, 8, 88]) {
      it(`is kept by ${instances} instances in every window`, () => {
        const budgets = Array.from({length: instances}, () =>
          createRepeatBudget(FLEET),
        );
        const requests: number[] = [];
        const repeats: number[] = [];
        for (let now = 0; now < 30_000; now += 50) {
          for (const budget of budgets) {
            budget.recordRequest(now);
            requests.push(now);
            if (budget.take(now, instances)) {
              repeats.push(now);
            }
          }
        }
        for (let start = 0; start <= 20_000; start += 500) {
          const isInside = (t: number) =>
            t >= start && t < start + FLEET.windowMs;
          const allowed =
            requests.filter(isInside).length * FLEET.ratio + FLEET.extra;
          const taken = repeats.filter(isInside).length;
          assert.ok(taken <= allowed, `${taken} of ${allowed} at ${start}`);
        }
      });
    }
  });

  it('is full again after a quiet window', () => {
    const budget = createRepeatBudget(FLEET);
    while (budget.take(0, 8)) {
      // Uses the share up.
    }
    assert.not.ok(budget.take(5000, 8));
    assert.ok(budget.take(10_001, 8));
  });
});
