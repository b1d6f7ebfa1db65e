/** Who gets scarce capacity of several instances, on simulated time. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {AdmissionOrder} from '../src/relay/admission_reason.js';
import {runAdmissionFleet} from './support/admission_fleet.js';
import type {ClassResult, LoadClass} from './support/admission_fleet.js';

const {ARRIVAL, URGENCY} = AdmissionOrder;

const URGENT: LoadClass = {
  name: 'urgent',
  urgencyPosition: 0,
  requestsPerSecond: 18,
  targetMs: 500,
  deadlineMs: 8000,
  promptTokens: 1460,
  runMs: 800,
};
const LARGE: LoadClass = {
  name: 'large',
  urgencyPosition: 1,
  requestsPerSecond: 40,
  targetMs: 2000,
  deadlineMs: 8000,
  promptTokens: 17_000,
  runMs: 3000,
};
const NOTES: LoadClass = {
  ...URGENT,
  name: 'urgent',
  requestsPerSecond: 12,
  targetMs: 619,
  deadlineMs: 4128,
  promptTokens: 9190,
};
const REVIEWS: LoadClass = {...LARGE, requestsPerSecond: 30, deadlineMs: 8109};
const LOOKUP: LoadClass = {
  name: 'usual',
  urgencyPosition: 0.5,
  requestsPerSecond: 110,
  targetMs: 325,
  deadlineMs: 4134,
  runMs: 200,
};

function computeServedRatio({served, asked}: ClassResult): number {
  return served / asked;
}

function describeResults(results: Record<string, ClassResult>): string {
  return JSON.stringify(results);
}

describe('urgent short requests and larger, less urgent ones', () => {
  describe('at servers that are all cold', () => {
    const load = {
      classes: [URGENT, LARGE],
      coldRequestsPerSecond: 12,
      lastsMs: 6000,
    };

    // The fault that the order by urgency is for: the requests that poll for the longest
    // time get the capacity.
    it('are refused by arrival while the larger ones start', async () => {
      const results = await runAdmissionFleet({...load, order: ARRIVAL});
      const text = describeResults(results);
      assert.ok(computeServedRatio(results['urgent']!) < 0.5, text);
      assert.ok(computeServedRatio(results['large']!) > 0.5, text);
    });

    for (const seed of [1, 2]) {
      // Guards against urgent requests that get nothing, against capacity that is kept
      // for requests that cannot use it, and against a rank that starves.
      it(`get capacity first by urgency, seed ${seed}`, async () => {
        const options = {...load, maximumTries: 3, seed};
        const before = await runAdmissionFleet({...options, order: ARRIVAL});
        const results = await runAdmissionFleet({...options, order: URGENCY});
        const urgent = results['urgent']!;
        const large = results['large']!;
        const text = describeResults(results);
        assert.ok(computeServedRatio(urgent) > 11 / 12, text);
        const served = urgent.served + large.served;
        const servedBefore = before['urgent']!.served + before['large']!.served;
        assert.ok(served >= servedBefore, `${text} ${describeResults(before)}`);
        const servedRatio = served / (urgent.asked + large.asked);
        assert.ok(computeServedRatio(large) > servedRatio / 4, text);
      });
    }
  });

  describe('at warm servers with a long backlog', () => {
    const load = {classes: [NOTES, REVIEWS], lastsMs: 10_000};

    for (const seed of [1, 2]) {
      // Guards against a backlog of the less urgent that the urgent ones, which have less
      // time, always meet.
      it(`start more often with news of other instances, seed ${seed}`, async () => {
        const options = {...load, seed};
        const before = await runAdmissionFleet({...options, order: ARRIVAL});
        const alone = await runAdmissionFleet({
          ...options,
          order: URGENCY,
          hasGossip: false,
        });
        const results = await runAdmissionFleet({...options, order: URGENCY});
        const text = [before, alone, results].map(describeResults).join(' ');
        const urgent = results['urgent']!;
        assert.ok(urgent.served > before['urgent']!.served * 1.2, text);
        assert.ok(urgent.served > alone['urgent']!.served, text);
        assert.ok(alone['urgent']!.served > before['urgent']!.served, text);
        const large = results['large']!;
        const servedRatio =
          (urgent.served + large.served) / (urgent.asked + large.asked);
        assert.ok(computeServedRatio(large) > servedRatio / 4, text);
      });
    }
  });
});

describe('a burst of 1.3 times the capacity of a plain service', () => {
  // Guards against refused clients that return together, or while others still wait.
  it('is refused less often, also when it returns', async () => {
    const load = {
      servers: 1,
      maximumConnections: 40,
      maximumTries: 4,
      classes: [
        LOOKUP,
        {...LOOKUP, name: 'burst', requestsPerSecond: 100, lastsMs: 1500},
      ],
      lastsMs: 6000,
    };
    const count = (results: Record<string, ClassResult>) => {
      const all = Object.values(results);
      const sum = (key: keyof ClassResult) =>
        all.reduce((total, item) => total + item[key], 0);
      return {
        served: sum('served'),
        inTime: sum('served') - sum('late'),
        refused: sum('refusedFirst') + sum('refusedAgain'),
        refusedAgain: sum('refusedAgain'),
      };
    };
    const before = count(await runAdmissionFleet({...load, order: ARRIVAL}));
    const after = count(await runAdmissionFleet({...load, order: URGENCY}));
    const text = JSON.stringify([before, after]);
    assert.ok(after.served >= before.served, text);
    assert.ok(after.inTime > before.inTime, text);
    assert.ok(after.refusedAgain < before.refusedAgain / 4, text);
  });
});
