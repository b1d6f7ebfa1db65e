/** The order of service over the priorities of customers and routes. */
import {describe, it} from '@buckthornbeam/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import type {Customer} from '../src/model.js';
import {getUrgencyRanks} from '../src/state/request_urgency.js';
import {createRoute} from './support/fixtures.js';

const MOST_LEVELS = 10;

/** Ranks each route of each customer; rows are customers, columns are routes. */
function rankAll(
  customerPriorities: ReadonlyArray<number | undefined>,
  routePriorities: readonly number[],
) {
  const routes = routePriorities.map(priority => createRoute({priority}));
  const customers = customerPriorities.map(
    (priority, index): Customer => ({name: `customer-${index}`, priority}),
  );
  const ranks = getUrgencyRanks({
    routes,
    customersByKey: new Map(customers.map(item => [item.name, item])),
  });
  return customers.map(customer =>
    routes.map(route => ranks.rank(route, customer)),
  );
}

const priorities = fc.array(fc.integer({min: 0, max: 12}), {
  minLength: 1,
  maxLength: 4,
});

describe('request urgency', () => {
  // TIER: servers preempted urgent requests while less urgent ones of the same customer ran.
  it('is higher for an urgent route than for others of the same customer', () => {
    const [[reply, draft, brief]] = rankAll([1], [0, 1, 2]) as [
      Array<{level: number; position: number}>,
    ];
    assert.ok(reply!.level < draft!.level);
    assert.ok(draft!.level < brief!.level);
    assert.ok(reply!.position < draft!.position);
    assert.ok(draft!.position < brief!.position);
  });

  it('compares the priorities of customers first', () => {
    const [first, second] = rankAll([0, 1], [0, 1, 2]);
    assert.ok(first![2]!.level < second![0]!.level);
  });

  it('uses the priority of the route for a customer without one', () => {
    const [urgent, unset] = rankAll([0, undefined], [0, 2]);
    assert.is(unset![0]!.level, urgent![0]!.level);
    assert.ok(unset![1]!.level > urgent![1]!.level);
  });

  it('is the priority of the route without customers', () => {
    const routes = [0, 1, 2].map(priority => createRoute({priority}));
    const ranks = getUrgencyRanks({routes, customersByKey: undefined});
    assert.equal(
      routes.map(route => ranks.rank(route, undefined)),
      [
        {level: 0, position: 0},
        {level: 1, position: 0.5},
        {level: 2, position: 1},
      ],
    );
  });

  it('never reverses two requests, and tells all ranks apart that fit the levels', () => {
    fc.assert(
      fc.property(priorities, priorities, (customers, routes) => {
        const rows = rankAll(customers, routes);
        const items = rows.flatMap((row, customer) =>
          row.map((urgency, route) => ({
            ...urgency,
            key: customers[customer]! * 100 + routes[route]!,
          })),
        );
        const count = new Set(items.map(item => item.key)).size;
        items.sort((a, b) => a.key - b.key);
        items.forEach(({level, position, key}, index) => {
          assert.ok(Number.isInteger(level) && level >= 0);
          assert.ok(level < MOST_LEVELS);
          assert.ok(position >= 0 && position <= 1);
          const last = items[index - 1];
          if (last) {
            assert.ok(last.level <= level && last.position <= position);
            assert.is(last.position === position, last.key === key);
          }
          if (last && count <= MOST_LEVELS) {
            assert.is(last.level === level, last.key === key);
          }
        });
      }),
    );
  });
});
