/** Shortages of capacity, and the capacity reserved for those that they hold back. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  createCapacityReturns,
  createRankHeadroom,
  createRankReserve,
  createRoomShortages,
} from '../src/index.js';

const SERVICE = 'service';
const FIRST = 0;
const LAST = 1;

describe('shortages', () => {
  // Guards against a rank that is held back by itself or by less urgent ones.
  it('hold back only what is less urgent', () => {
    const shortages = createRoomShortages();
    assert.not.ok(shortages.isHeldBack(SERVICE, LAST, 0));
    shortages.record(SERVICE, 0.5, 0);
    const held = [0, 0.4, 0.5, 0.50001, 0.6, 1].map(position =>
      shortages.isHeldBack(SERVICE, position, 100),
    );
    assert.equal(held, [false, false, false, false, true, true]);
    assert.not.ok(shortages.isHeldBack('other', LAST, 100));
  });

  // Guards against capacity that is left unused after lost announcements of an end.
  it('of other instances expire after a second, counted from their beginning', () => {
    const teller = createRoomShortages();
    const hearer = createRoomShortages();
    teller.record(SERVICE, FIRST, 0);
    hearer.acceptNews('teller', teller.listNews(400), 1400);
    assert.is(hearer.findMostUrgent(SERVICE, 1990), FIRST);
    assert.is(hearer.findMostUrgent(SERVICE, 2010), undefined);
    assert.equal(hearer.listNews(2010), []);
    hearer.acceptNews(
      'teller',
      teller.listNews(450).map(item => ({...item, ageMs: 1000})),
      3000,
    );
    assert.not.ok(hearer.isScarce(SERVICE, 3000));
  });

  it('end when the instance no longer sends them', () => {
    const hearer = createRoomShortages();
    const teller = createRoomShortages();
    teller.record(SERVICE, FIRST, 0);
    hearer.acceptNews('teller', teller.listNews(10), 10);
    hearer.acceptNews('other', [], 20);
    assert.ok(hearer.isHeldBack(SERVICE, LAST, 30));
    hearer.acceptNews('teller', teller.listNews(500), 500);
    assert.not.ok(hearer.isHeldBack(SERVICE, LAST, 500));
  });

  // Guards against news that return to their origin and never end.
  it('are passed on a limited number of times', () => {
    const instances = [0, 1, 2].map(() => createRoomShortages());
    instances[0]!.record(SERVICE, FIRST, 0);
    instances[1]!.acceptNews('0', instances[0]!.listNews(0, 0), 0);
    assert.is(instances[1]!.listNews(0, 0).length, 0);
    instances[2]!.acceptNews('1', instances[1]!.listNews(0, 1), 0);
    assert.is(instances[2]!.listNews(0, 1).length, 0);
    assert.is(instances[2]!.listNews(0, 2)[0]!.hops, 2);
  });

  // Guards against messages that grow with the number of ranks.
  it('are listed for the two most urgent positions of a service', () => {
    const shortages = createRoomShortages();
    [0.9, 0.1, 0.5].forEach(position => shortages.record(SERVICE, position, 0));
    shortages.record('other', LAST, 0);
    const positions = shortages
      .listNews(0)
      .map(item => item.urgencyPosition)
      .sort();
    assert.equal(positions, [0.1, 0.5, 1]);
  });

  // Guards against shares of customers that are dropped between two refusals.
  it('show for a second that capacity is scarce', () => {
    const shortages = createRoomShortages();
    shortages.record(SERVICE, LAST, 0);
    assert.ok(shortages.isScarce(SERVICE, 990));
    assert.not.ok(shortages.isScarce('other', 990));
    assert.not.ok(shortages.isScarce(SERVICE, 1000));
  });
});

describe('the reserve for lower ranks', () => {
  // Guards against a class that is starved, and one that takes more than its part.
  it('lets a quarter as many pass as of all requests', () => {
    const reserve = createRankReserve({random: () => 0});
    let passed = 0;
    let asked = 0;
    let urgentStarted = 0;
    for (let now = 0; now < 20_000; now += 20) {
      reserve.recordAsked(SERVICE, FIRST, now);
      reserve.recordAsked(SERVICE, LAST, now);
      if (now % 100 !== 0) {
        reserve.recordStart(SERVICE, FIRST, now);
        urgentStarted += 1;
      }
      asked += 1;
      if (reserve.canPass(SERVICE, LAST)) {
        reserve.recordStart(SERVICE, LAST, now);
        passed += 1;
      }
    }
    const servedRatio = (urgentStarted + passed) / (2 * asked);
    const ratio = passed / asked / servedRatio;
    assert.ok(ratio > 0.25 && ratio < 0.3, `ratio: ${ratio}`);
  });

  // Guards against instances that serve nothing, since all they have is held back.
  it('lets some pass where no others are served', () => {
    const reserve = createRankReserve({random: () => 0});
    for (let now = 0; now < 1000; now += 50) {
      reserve.recordAsked(SERVICE, LAST, now);
    }
    assert.ok(reserve.canPass(SERVICE, LAST));
  });
});

describe('the headroom', () => {
  // Guards against less urgent requests that fill the servers again at once.
  it('falls in a shortage, not to nothing, and rises slowly afterwards', () => {
    const headroom = createRankHeadroom();
    let factor = 1;
    let now = 0;
    const runFor = (ms: number, isHeldBack: boolean) => {
      for (const endsAt = now + ms; now < endsAt; now += 10) {
        factor = headroom.computeFactor(SERVICE, LAST, isHeldBack, now);
      }
    };
    runFor(500, true);
    assert.ok(factor > 0.3 && factor < 0.5, `factor: ${factor}`);
    runFor(5000, true);
    assert.ok(factor > 0.1, `factor: ${factor}`);
    runFor(2000, false);
    assert.ok(factor < 0.6, `factor: ${factor}`);
    runFor(20_000, false);
    assert.is(factor, 1);
  });
});

describe('returns of refused requests', () => {
  const refused = {
    serviceName: SERVICE,
    urgencyPosition: FIRST,
    longestMs: 3000,
    now: 1000,
  };

  // Guards against delays that are made up where nothing is known.
  it('are not planned without requests that were sent', () => {
    assert.is(createCapacityReturns().planReturn(refused), undefined);
  });

  // Guards against clients that return at the same time.
  it('are spread over the capacity that becomes free', () => {
    const returns = createCapacityReturns({random: () => 0.5});
    for (let now = 0; now < 1000; now += 50) {
      returns.recordStart(SERVICE, LAST, now);
    }
    const delays = Array.from({length: 5}, () => returns.planReturn(refused)!);
    const steps = delays.slice(1).map((delay, index) => delay - delays[index]!);
    assert.ok(
      steps.every(step => step > 100),
      `steps: ${steps.join()}`,
    );
    assert.ok(delays.every(delay => delay <= refused.longestMs));
  });

  // Guards against a delay beyond what clients honour.
  it('keep to the longest delay and differ there', () => {
    let value = 0;
    const returns = createCapacityReturns({random: () => (value += 0.09) % 1});
    returns.recordStart(SERVICE, FIRST, 900);
    const delays = Array.from({length: 10}, () => returns.planReturn(refused)!);
    assert.ok(delays.every(delay => delay <= 3000 && delay > 2000));
    assert.is(new Set(delays).size, 10);
  });
});
