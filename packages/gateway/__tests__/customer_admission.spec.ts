/**
 * Shares of customers in a fleet: a customer that sends each request to another
 * instance, and shortages that only one instance sees.
 */
import {createCustomerShares} from '@buckthornbeam/decisions';
import {errorTable, hashToUint32} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  decodeCustomerNews,
  encodeCustomerNews,
} from '../src/peers/customer_news.js';
import type {RankNews} from '../src/peers/customer_news.js';
import {computeShareRetryAfter} from '../src/relay/retry_after.js';
import {createCustomerAdmission} from '../src/state/customer_admission.js';
import type {
  CustomerAdmission,
  CustomerRequest,
} from '../src/state/customer_admission.js';
import {createCustomerSums} from '../src/state/customer_sums.js';
import {createConfiguration, createRoute} from './support/fixtures.js';
import {createGossipFleet} from './support/gossip_fleet.js';
import {createRelayFixture, startRawServer} from './support/relay_fixture.js';

const NAMES = ['greedy', 'modest'];
const CUSTOMERS = new Map(
  NAMES.map(name => [`key-${name}`, {name, priority: undefined}]),
);
const ROUTE = createRoute();

function createAdmission(customersByKey = CUSTOMERS): CustomerAdmission {
  const configuration = {...createConfiguration(), customersByKey};
  return createCustomerAdmission({
    getConfiguration: () => configuration,
    random: () => 0.5,
  });
}

function createRequest(name: string, position = 0.5): CustomerRequest {
  return {
    route: ROUTE,
    customer: {name, priority: undefined},
    urgency: {level: 0, position},
    metadata: {generation: undefined},
  };
}

/** Numbers of requests that the shares refused, by customer. */
interface Refused {
  greedy: number;
  modest: number;
}

/** What customers send to an instance at a time, and what servers take of it. */
interface Sent extends Refused {
  accepted: number;
  /** Whether the instance sees that servers do not take the others. */
  isShortageSeen?: boolean;
}

/** Sends requests, those of the greedy customer first; counts them as refused. */
function sendRequests(
  admission: CustomerAdmission,
  {accepted, isShortageSeen = true, ...sent}: Sent,
  refused: Refused,
  now: number,
): void {
  let free = accepted;
  for (const name of ['greedy', 'modest'] as const) {
    for (let index = 0; index < sent[name]; index++) {
      const request = createRequest(name);
      if (admission.check(request, now)) {
        refused[name] += 1;
      } else if (free > 0) {
        free -= 1;
        admission.recordService(request, now);
      } else if (isShortageSeen) {
        admission.recordShortage(request, now);
      }
    }
  }
}

describe('news of customers', () => {
  const rows = Array.from({length: 24}, (_, index) => ({
    customerHash: hashToUint32(`customer ${index}`),
    offered: 10 ** (index / 4),
    served: index,
    usual: 0,
  }));

  it('of 24 customers take 198 bytes and keep rates to 1 %', () => {
    const bytes = encodeCustomerNews([{rankHash: 7, scarceAgeMs: 41, rows}]);
    assert.is(bytes.length, 198);
    const [decoded] = decodeCustomerNews(bytes);
    assert.is(decoded!.rankHash, 7);
    assert.is(decoded!.scarceAgeMs, 50);
    for (const row of decoded!.rows) {
      const {offered, served, usual} = rows.find(
        ({customerHash}) => customerHash === row.customerHash,
      )!;
      assert.ok(Math.abs(row.offered / offered - 1) < 0.01);
      assert.ok(Math.abs(row.served - served) <= 0.01 * served);
      assert.is(row.usual, usual);
    }
  });

  it('are bounded, and read as far as they are complete', () => {
    const ranks = [1, 2, 3].map(rankHash => ({rankHash, scarceAgeMs: 0, rows}));
    const bytes = encodeCustomerNews(ranks);
    assert.is(bytes.length, 396);
    assert.is(decodeCustomerNews(bytes.subarray(0, 395)).length, 1);
    assert.equal(decodeCustomerNews(bytes.subarray(0, 5)), []);
    assert.is(encodeCustomerNews([]).length, 0);
  });
});

describe('sums of customers', () => {
  const row = {customerHash: 1, offered: 10, served: 5, usual: 2};
  const news: RankNews[] = [{rankHash: 7, scarceAgeMs: 0, rows: [row]}];

  it('of totals leave out the own report, also when it was lost', () => {
    const sums = createCustomerSums({listOwn: () => news});
    sums.buildReport(0);
    sums.receiveTotals(news, 100);
    assert.is(sums.sumOthers(100).get(7)!.rows[0]!.offered, 0);
    sums.receiveTotals([], 200);
    assert.is(sums.sumOthers(200).get(7)!.rows[0]!.offered, 0);
  });

  it('expire, and age while they are passed on', () => {
    const sums = createCustomerSums({listOwn: () => []});
    sums.receiveReport('other', news, 0);
    assert.is(sums.buildGroupSum(400)[0]!.scarceAgeMs, 400);
    assert.is(sums.sumOthers(1600).size, 0);
  });
});

describe('admission by shares of customers', () => {
  /** Serves both customers as usual, then lets one ask for ten times as much. */
  function runSurge(admission: CustomerAdmission, accepted: number): Refused {
    const refused = {greedy: 0, modest: 0};
    for (let now = 0; now < 20_000; now += 100) {
      const greedy = now < 15_000 ? 1 : 10;
      sendRequests(admission, {greedy, modest: 1, accepted}, refused, now);
    }
    return refused;
  }

  it('refuses the customer over its share, not the other one', () => {
    const {greedy, modest} = runSurge(createAdmission(), 3);
    assert.ok(greedy >= 300, `${greedy} refused`);
    assert.ok(modest <= 2, `${modest} refused`);
  });

  it('refuses none without a shortage', () => {
    const refused = runSurge(createAdmission(), Infinity);
    assert.equal(refused, {greedy: 0, modest: 0});
  });

  it('refuses none if the configuration has one customer', () => {
    const [first] = CUSTOMERS;
    const refused = runSurge(createAdmission(new Map([first!])), 3);
    assert.equal(refused, {greedy: 0, modest: 0});
  });

  it('divides one rank and leaves the others', () => {
    const admission = createAdmission();
    runSurge(admission, 3);
    assert.is(admission.countScarceRanks(20_000), 1);
    const urgent = createRequest('greedy', 0);
    assert.is(admission.check(urgent, 20_000), undefined);
    assert.is(admission.countScarceRanks(21_100), 0);
  });

  it('delays the return until the share covers it, as far as callers wait', () => {
    const computeDelay = (remainingMs: number, availableInMs: number) =>
      computeShareRetryAfter({remainingMs, availableInMs, random: () => 0.5});
    const known = computeDelay(8000, 1000);
    assert.ok(known >= 1000 && known <= 1250, `${known}`);
    const bounded = computeDelay(3000, 5000);
    assert.ok(bounded >= 700 && bounded <= 1000, `${bounded}`);
    assert.ok(computeDelay(8000, 0) >= 100);
  });

  it('answers 503 without sending the request to a server', async () => {
    const ids: string[] = [];
    const server = await startRawServer({onRequest: ({id}) => ids.push(id)});
    const fixture = createRelayFixture({
      addresses: {s1: server.address},
      customers: {...createAdmission(), check: () => ({availableInMs: 200})},
    });
    const {error, report} = await fixture.send('r1');
    assert.is(error?.code, 'overloaded');
    assert.is(errorTable[error!.code].status, 503);
    assert.ok(error!.retryAfterMs! >= 200 && error!.retryAfterMs! <= 250);
    assert.is(report.isOverShare, true);
    assert.equal(ids, []);
    fixture.close();
    server.close();
  });
});

describe('shares of customers in a fleet', () => {
  for (const count of [8, 73]) {
    it(`of ${count} instances are divided by all after a shortage at one`, () => {
      const admissions = new Map<string, CustomerAdmission>();
      const fleet = createGossipFleet({
        count,
        dataCentres: 3,
        createCustomers: ({id}) => {
          const admission = createAdmission();
          admissions.set(id, admission);
          return admission.sums;
        },
      });
      fleet.run(8000);
      const refused = new Map(
        fleet.instances.map(({id}) => [id, {greedy: 0, modest: 0}]),
      );
      for (let round = 0; round < 24; round++) {
        for (const {id} of fleet.instances) {
          const isShortageSeen = id === 'entry-0';
          const sent = {greedy: 8, modest: 1, accepted: 2, isShortageSeen};
          sendRequests(admissions.get(id)!, sent, refused.get(id)!, fleet.now);
        }
        fleet.run(125);
      }
      const unaware = [...refused.values()].filter(({greedy}) => greedy < 24);
      assert.is(unaware.length, 0, `${unaware.length} admit all`);
      fleet.run(2500);
      for (const admission of admissions.values()) {
        assert.is(admission.countScarceRanks(fleet.now), 0);
      }
    });
  }
});

describe('shares without rates', () => {
  it('list nothing for customers that ask for nothing', () => {
    assert.equal(createCustomerShares().listNews(0), []);
  });
});
