/**
 * Even load by stale reports: the choice by predicted load against the choice of
 * the lowest cost and other methods, in a model without a network. Guards against
 * instances that all choose the same server until the next report.
 */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  chooseByShare,
  computeFill,
  createLoadSpread,
  estimateEndedRatio,
  estimateSentRatio,
} from '../src/index.js';
import {
  MODEL_SLOTS,
  chooseByExact,
  methods,
} from './support/placement_methods.js';
import {MODEL_TOKENS_PER_MS, runModel} from './support/stale_load_model.js';
import type {
  ModelKind,
  ModelOptions,
  ModelResult,
} from './support/stale_load_model.js';

const EVEN = 'predicted, even';
const FLEETS = [8, 73, 195, 420];
const REPORT_AGE_MS = 300;
const MAXIMUM_PEAK_RATIO = 1.15;
const MAXIMUM_LATE_RATIO = 1.2;
/** Late requests that a run of this length may have by chance. */
const LATE_MARGIN = 0.01;
/** Times of work and targets of a plain service. */
const PLAIN_SERVICE = {
  subjects: 0,
  sharedTokens: 0,
  ownTokens: 0,
  serviceMs: 600,
  targetMs: 1300,
};

/** Classes of the print router, at a multiple of their rates for each server. */
function listGenerations(loadRatio: number): ModelKind[] {
  const perServer = loadRatio / 63;
  return [
    {
      rate: 98.1 * perServer,
      subjects: 200,
      sharedTokens: 13_300,
      ownTokens: 3720,
      serviceMs: 600,
      targetMs: 2027,
    },
    {
      rate: 33.8 * perServer,
      subjects: 100,
      sharedTokens: 6300,
      ownTokens: 2890,
      serviceMs: 260,
      targetMs: 619,
    },
    {
      rate: 120 * perServer,
      subjects: 300,
      sharedTokens: 350,
      ownTokens: 1110,
      serviceMs: 860,
      targetMs: 411,
    },
  ];
}

/** Servers and load: four fifths of the slots are busy on average. */
const deployments = {
  '6 equal': {speeds: Array.from({length: 6}, () => 1), rate: 85},
  '63 equal': {speeds: Array.from({length: 63}, () => 1), rate: 85},
  '63 unequal': {
    speeds: Array.from({length: 63}, (_, index) => (index % 2 ? 0.55 : 1.2)),
    rate: 75,
  },
};
type DeploymentName = keyof typeof deployments;

function runPlain(
  name: DeploymentName,
  options: Pick<ModelOptions, 'choosers' | 'choose'> & Partial<ModelOptions>,
): ModelResult {
  const {speeds, rate} = deployments[name];
  return runModel({
    speeds,
    kinds: [{...PLAIN_SERVICE, rate}],
    ageMs: REPORT_AGE_MS,
    slots: MODEL_SLOTS,
    ...options,
  });
}

function printRow(label: string, result: ModelResult): void {
  const {peakRatio, momentRatio, lateRatio, prefillRatio} = result;
  const figures = [peakRatio, momentRatio, lateRatio, prefillRatio].map(value =>
    value.toFixed(3).padStart(7),
  );
  process.stdout.write(`${label.padEnd(44)}${figures.join('')}\n`);
}

describe('plain services by stale reports', () => {
  // The choice of the lowest cost comes first in the table: it is what off means.
  for (const name of Object.keys(deployments) as DeploymentName[]) {
    for (const choosers of FLEETS) {
      it(`have even load at ${name} servers, ${choosers} instances`, () => {
        const exact = runPlain(name, {
          choosers: 1,
          choose: chooseByExact,
          ageMs: 0,
        });
        printRow(`${name}, exact loads`, exact);
        const [today, even] = ['today', EVEN].map(method => {
          const result = runPlain(name, {choosers, choose: methods[method]!()});
          printRow(`${name}, ${choosers} choosers, ${method}`, result);
          return result;
        });
        assert.ok(today!.peakRatio > even!.peakRatio);
        assert.ok(
          even!.peakRatio <= MAXIMUM_PEAK_RATIO,
          `peak ${even!.peakRatio}`,
        );
        assert.ok(
          even!.lateRatio <= MAXIMUM_LATE_RATIO * exact.lateRatio,
          `${even!.lateRatio} late`,
        );
      });
    }
  }

  it('have more even load by prediction than by the lowest cost, two choices and subsets', () => {
    const results = Object.keys(methods).map(method => {
      const choose = methods[method]!();
      const result = runPlain('63 unequal', {choosers: 195, choose});
      printRow(`63 unequal, 195 choosers, ${method}`, result);
      return {method, peakRatio: result.peakRatio};
    });
    const even = results.find(({method}) => method === EVEN)!;
    for (const {method, peakRatio} of results) {
      if (['today', 'two choices', 'subset'].includes(method)) {
        assert.ok(even.peakRatio < peakRatio, `${method}: ${peakRatio}`);
      }
    }
  });

  it('have even load by reports of 100 ms to 2 s, more than by the lowest cost', () => {
    for (const ageMs of [100, 1000, 2000]) {
      const [today, even] = ['today', EVEN].map(method => {
        const choose = methods[method]!();
        const result = runPlain('6 equal', {choosers: 73, ageMs, choose});
        printRow(`6 equal, 73 choosers, ${ageMs} ms, ${method}`, result);
        return result;
      });
      assert.ok(even!.peakRatio < today!.peakRatio, `${ageMs} ms`);
    }
  });

  // Guards against an instance that has no reports and fills its own idle servers.
  it('have even load without any reports, and while halves do not hear each other', () => {
    for (const part of [{isIsolated: true}, {isPartitioned: true}]) {
      const choose = methods[EVEN]!();
      const result = runPlain('63 equal', {choosers: 73, choose, ...part});
      printRow(`63 equal, 73 choosers, ${Object.keys(part).join()}`, result);
      assert.ok(result.peakRatio < 1.3, String(result.peakRatio));
    }
  });
});

describe('generations by stale reports', () => {
  const speeds = Array.from({length: 20}, () => 1);

  function runGenerations(
    kinds: readonly ModelKind[],
    options: Pick<ModelOptions, 'choosers' | 'choose' | 'ageMs'>,
  ): ModelResult {
    return runModel({speeds, kinds, slots: MODEL_SLOTS, ...options});
  }

  it('are late hardly more often than by exact loads, in a burst of short prompts', () => {
    const kinds = [{...listGenerations(1)[2]!, rate: 38}];
    const exact = runGenerations(kinds, {
      choosers: 1,
      ageMs: 0,
      choose: chooseByExact,
    });
    printRow('20 equal, short prompts, exact loads', exact);
    for (const method of Object.keys(methods)) {
      const choose = methods[method]!();
      const result = runGenerations(kinds, {
        choosers: 195,
        ageMs: REPORT_AGE_MS,
        choose,
      });
      printRow(`20 equal, 195 choosers, ${method}`, result);
      if (method === EVEN) {
        const limit = MAXIMUM_LATE_RATIO * exact.lateRatio + LATE_MARGIN;
        assert.ok(result.lateRatio <= limit, String(result.lateRatio));
      }
    }
  });

  // Guards against spreading long prompts away from the servers that cache them.
  it('are prefilled and late about as often as by the lowest cost, with long prompts', () => {
    const kinds = listGenerations(2.6);
    const exact = runGenerations(kinds, {
      choosers: 1,
      ageMs: 0,
      choose: chooseByExact,
    });
    printRow('20 equal, all classes, exact loads', exact);
    const results = Object.keys(methods).map(method => {
      const result = runGenerations(kinds, {
        choosers: 195,
        ageMs: REPORT_AGE_MS,
        choose: methods[method]!(),
      });
      printRow(`20 equal, all classes, 195 choosers, ${method}`, result);
      return {method, result};
    });
    const today = results.find(item => item.method === 'today')!.result;
    const even = results.find(item => item.method === EVEN)!.result;
    assert.ok(even.prefillRatio <= today.prefillRatio * 1.05);
    assert.ok(even.lateRatio <= today.lateRatio + LATE_MARGIN);
  });
});

/** Few servers, of 37.9 to 61.8 prompt tokens per ms, and shared parts of prompts. */
describe('prompts with shared parts', () => {
  const MINIMUM_SPEED = 37.9 / MODEL_TOKENS_PER_MS;
  const MAXIMUM_PREFILL_RATIO = 1.05;
  const large = {
    rate: 2,
    sharedTokens: 13_300,
    ownTokens: 3720,
    serviceMs: 600,
    targetMs: 2027,
  };
  const medium = {
    rate: 8,
    sharedTokens: 3000,
    ownTokens: 1500,
    serviceMs: 260,
    targetMs: 619,
  };
  const small = {...listGenerations(1)[2]!, rate: 6};

  function listSpeeds(count: number): number[] {
    return Array.from(
      {length: count},
      (_, index) => MINIMUM_SPEED + (1 - MINIMUM_SPEED) * ((index % 6) / 5),
    );
  }

  // Guards against spreading prompts away from the servers that cache their part,
  // to servers that prefill it again.
  for (const [servers, subjects] of [
    [6, 20],
    [63, 200],
  ] as const) {
    const kinds = {
      'parts of 13,300 tokens': [{...large, subjects}],
      'parts of 13,300 and 350 tokens': [{...large, subjects}, small],
      'parts of 3000 tokens': [{...medium, subjects: 2 * subjects}],
      'parts of 13,300 and 3000 tokens': [
        {...large, subjects},
        {...medium, subjects: 2 * subjects},
      ],
    };
    for (const [name, load] of Object.entries(kinds)) {
      it(`are prefilled again about as rarely as by the lowest cost, ${servers} servers, ${name}`, () => {
        const [today, even] = ['today', EVEN].map(method => {
          const result = runModel({
            speeds: listSpeeds(servers),
            kinds: load,
            choosers: 73,
            ageMs: REPORT_AGE_MS,
            slots: MODEL_SLOTS,
            choose: methods[method]!(),
          });
          printRow(`${servers}, ${name}, ${method}`, result);
          const again = result.repeatedRatio.toFixed(3);
          process.stdout.write(`  prefilled again: ${again}\n`);
          return result;
        });
        assert.ok(
          even!.prefillRatio <= today!.prefillRatio * MAXIMUM_PREFILL_RATIO,
          `${even!.prefillRatio}, off ${today!.prefillRatio}`,
        );
        assert.ok(even!.lateRatio <= today!.lateRatio + LATE_MARGIN);
      });
    }
  }
});

describe('the prediction of load', () => {
  it('fills the servers of the lowest cost up to a common level', () => {
    const targets = [
      {cost: 0, capacity: 10},
      {cost: 1, capacity: 20},
      {cost: 9, capacity: 10},
    ];
    assert.equal(computeFill(targets, 5), [5, 0, 0]);
    assert.equal(computeFill(targets, 40), [20, 20, 0]);
  });

  it('chooses the cheapest server if nothing is unseen, and none of none', () => {
    const targets = [
      {cost: 3, capacity: 1},
      {cost: 2, capacity: 1},
    ];
    assert.equal(computeFill(targets, 0), [0, 1]);
    assert.is(chooseByShare(computeFill(targets, 0), 0.99), 1);
    assert.is(chooseByShare(computeFill([], 5), 0.5), -1);
  });

  it('expects the load of others from the own, and its end from what begins', () => {
    const spread = createLoadSpread();
    spread.record(4, 0);
    const place = {rank: 0, instances: 3, ageMs: 500, reportedAt: 0};
    assert.is(spread.next(place, 0).unseen, (4 / 2000) * 2 * 500);
    assert.is(spread.next({...place, instances: 1}, 0).unseen, 0);
    assert.is(estimateEndedRatio({unseen: 5, reported: 0, speed: 1}), 0);
    assert.ok(estimateEndedRatio({unseen: 5, reported: 10, speed: 1}) < 0.5);
  });

  // Guards against slow servers that are filled above the level of fast ones.
  it('sends more to fast servers, which end more of it', () => {
    assert.is(estimateSentRatio({unseen: 0, reported: 10, speed: 1}), 1);
    assert.is(estimateSentRatio({unseen: 5, reported: 0, speed: 1}), 1);
    const [slow, fast] = [0.55, 1.2].map(speed =>
      estimateSentRatio({unseen: 5, reported: 10, speed}),
    );
    assert.ok(slow! > 1 && fast! > slow!);
  });
});
