/**
 * Loads of docs/design/overload.md, part 5, against shares of scarce capacity: without
 * them the customers that keep their usual load lose with the one that does not.
 */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createCustomerShares} from '../src/index.js';
import {computeShare, computeShareLevel} from '../src/share_level.js';
import {computeRate, hashName, runShareFleet} from './support/share_fleet.js';
import type {FleetResult, Tally} from './support/share_fleet.js';

const FLEETS = [8, 73];
const LARGE = 0;
const SMALL = 10;

function sumTallies(tallies: readonly Tally[]): Tally {
  return tallies.reduce((sum, {asked, served}) => ({
    asked: sum.asked + asked,
    served: sum.served + served,
  }));
}

/** Checks that all customers but one are served 0.95 of what they were before. */
function assertOthersKept({kept, used}: FleetResult, exempt: number): void {
  const others = kept.filter((_, customer) => customer !== exempt);
  assert.ok(Math.min(...others) >= 0.95, others.join(' '));
  assert.ok(used >= 0.95, `${used} of the capacity used`);
}

/** Checks what each customer and each prompt size is served, as a ratio to all. */
function assertNoneStarved({customers, classes, used}: FleetResult): void {
  const all = computeRate(sumTallies(customers));
  const ratios = customers.map(tally => computeRate(tally) / all);
  assert.ok(Math.min(...ratios) >= 0.25, ratios.join(' '));
  const sizes = Object.values(classes).map(tally => computeRate(tally) / all);
  assert.ok(Math.min(...sizes) >= 0.5, sizes.join(' '));
  assert.ok(used >= 0.95, `${used} of the capacity used`);
}

describe('shares of customers', () => {
  for (const instances of FLEETS) {
    describe(`with ${instances} instances and sums 500 to 750 ms old`, () => {
      it('keep the others whole beside a large customer at 7.5 times its usual load', () => {
        const result = runShareFleet({
          instances,
          computeFactor: customer => (customer === LARGE ? 7.5 : 1),
        });
        assertOthersKept(result, LARGE);
        assertNoneStarved(result);
      });

      it('keep them whole beside one that retries at once as well', () => {
        const result = runShareFleet({
          instances,
          computeFactor: customer => (customer === LARGE ? 7.5 : 1),
          isImpatient: customer => customer === LARGE,
        });
        assertOthersKept(result, LARGE);
      });

      it('keep large ones whole beside a small one at 7.5 times its usual load', () => {
        const result = runShareFleet({
          instances,
          usualRatio: 0.98,
          computeFactor: customer => (customer === SMALL ? 7.5 : 1),
        });
        assertOthersKept(result, SMALL);
        assertNoneStarved(result);
      });

      it('starve none in a burst of 2.7 times of the heaviest class', () => {
        assertNoneStarved(
          runShareFleet({
            instances,
            computeFactor: (_, name) => (name === 'long' ? 2.7 : 1),
          }),
        );
      });

      it('starve none when all retry at once at 3 times the usual load', () => {
        assertNoneStarved(
          runShareFleet({
            instances,
            computeFactor: () => 3,
            isImpatient: () => true,
          }),
        );
      });

      it('starve none when one customer surges and all retry at once', () => {
        assertNoneStarved(
          runShareFleet({
            instances,
            computeFactor: customer => (customer === SMALL ? 7.5 : 3),
            isImpatient: () => true,
          }),
        );
      });

      it('starve none when one customer and the heaviest class surge', () => {
        assertNoneStarved(
          runShareFleet({
            instances,
            computeFactor: (customer, name) =>
              (customer === LARGE ? 7.5 : 1) * (name === 'long' ? 2.7 : 1),
          }),
        );
      });
    });
  }

  it('are divided by each of 8 instances alone if no news arrive', () => {
    const result = runShareFleet({
      newsAgeMs: Infinity,
      computeFactor: customer => (customer === LARGE ? 7.5 : 1),
    });
    assertOthersKept(result, LARGE);
  });

  it('leave what a customer does not use to the others', () => {
    const idle = {offered: 10, served: 10, usual: 100};
    const busy = {offered: 500, served: 190, usual: 100};
    const level = computeShareLevel([idle, busy]);
    assert.ok(computeShare(busy, level) >= 190, `${level.factor}`);
    assert.ok(computeShare(idle, level) >= 10, `${level.factor}`);
  });

  it('admit everything while capacity is not scarce, and after lost news expire', () => {
    const shares = createCustomerShares({random: () => 0.5});
    const request = {customer: 'a', tokens: 1, isScarce: true, now: 10};
    shares.canAdmit({...request, tokens: 1000, now: 0});
    shares.recordService('a', 1000, 0);
    const greedy = {offered: 1e6, served: 100, usual: 100};
    shares.acceptNews('other', [{customerHash: hashName('a'), ...greedy}], 0);
    assert.not.ok(shares.canAdmit(request));
    assert.ok(shares.computeWait('a', 10) > 0);
    assert.ok(shares.canAdmit({...request, isScarce: false}));
    assert.ok(shares.canAdmit({...request, now: 3000}));
    assert.is(createCustomerShares().computeWait('a', 0), 0);
  });
});
