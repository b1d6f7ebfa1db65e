import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  cases,
  createEventQueue,
  createSimulatedEngine,
  measureLimitCost,
  runExperiment,
} from '../src/index.js';
import type {ExperimentCase} from '../src/index.js';

/** Scales a case down to about a sixth of its fleet and load. */
function buildSmallCase(fullCase: ExperimentCase): ExperimentCase {
  return {
    ...fullCase,
    instances: 15,
    servers: 11,
    durationMs: 12_000,
    kinds: fullCase.kinds.map(kind => ({
      ...kind,
      requestsPerSecond: kind.requestsPerSecond / 5.7,
      shared: kind.shared.map(blockKind => ({
        ...blockKind,
        count: Math.ceil(blockKind.count / 5.7),
      })),
    })),
  };
}

function findKind(result: ReturnType<typeof runExperiment>, name: string) {
  return result.kinds.find(kind => kind.name === name)!;
}

describe('simulated engine', () => {
  const profile = cases['steady']!.profile;

  function runJobs(prompts: Array<Array<{key: string; tokens: number}>>) {
    const eventQueue = createEventQueue();
    const engine = createSimulatedEngine({profile, eventQueue});
    const firstEventAt: number[] = [];
    prompts.forEach((blocks, index) =>
      engine.submit({
        urgency: index,
        blocks,
        outputTokens: profile.tokensPerEvent,
        onEvent: () => (firstEventAt[index] = eventQueue.now),
        onCrash: () => assert.unreachable(),
      }),
    );
    eventQueue.advanceTo(60_000);
    return {firstEventAt, totals: engine.totals};
  }

  it('prefills a block shared by two prompts once', () => {
    const shared = {key: '/a', tokens: 10_000};
    const unshared = {key: '', tokens: 1000};
    const {totals} = runJobs([
      [shared, unshared],
      [shared, unshared],
    ]);
    assert.is(totals.prefilledTokens, 12_000);
  });

  it('prefills a short prompt after a long prompt that arrived first', () => {
    const short = [{key: '', tokens: 1000}];
    const alone = runJobs([short]).firstEventAt[0]!;
    const behind = runJobs([[{key: '', tokens: 50_000}], short])
      .firstEventAt[1]!;
    assert.ok(behind > alone + 50_000 / profile.prefillTokensPerMs);
  });

  it('copies shared blocks from another server instead of prefilling them', () => {
    const eventQueue = createEventQueue();
    const [source, target] = [1, 2].map(() =>
      createSimulatedEngine({profile, eventQueue}),
    ) as [
      ReturnType<typeof createSimulatedEngine>,
      ReturnType<typeof createSimulatedEngine>,
    ];
    const job = {
      urgency: 0,
      blocks: [
        {key: '/a', tokens: 10_000},
        {key: '', tokens: 500},
      ],
      outputTokens: 1,
      onEvent: () => undefined,
      onCrash: () => assert.unreachable(),
    };
    source.submit({...job});
    eventQueue.advanceTo(5000);
    target.submit({...job, copySource: source});
    eventQueue.advanceTo(10_000);
    assert.is(target.totals.copiedTokens, 10_000);
    assert.is(target.totals.prefilledTokens, 500);
  });
});

describe('experiment', () => {
  it('gives the same result for the same seed', () => {
    const steady = buildSmallCase({...cases['steady']!, durationMs: 4000});
    assert.equal(runExperiment(steady, 3), runExperiment(steady, 3));
  });

  it('answers more short questions on time in a burst of long prompts if servers are reserved for short prompts', () => {
    const smallCase = buildSmallCase(cases['burst-of-briefs']!);
    const withReserved = runExperiment(smallCase, 1);
    const withoutReserved = runExperiment(
      {...smallCase, shortPromptRatio: 0},
      1,
    );
    const [onTimeWith, onTimeWithout] = [withReserved, withoutReserved].map(
      result => findKind(result, 'reply').onTime,
    );
    assert.ok(
      onTimeWith! > onTimeWithout!,
      `${onTimeWith} with reserved servers, ${onTimeWithout} without`,
    );
  });

  // TIER: with customers that have priorities, the most urgent kind was served worst.
  it('serves urgent kinds no worse than the least urgent in crashes between bursts, also by customers with priorities', () => {
    const smallCase = buildSmallCase({
      ...cases['crash-between-bursts']!,
      customerPriorities: [0, 1, 1, 1],
    });
    for (const seed of [1, 2, 3]) {
      const result = runExperiment(smallCase, seed);
      const [brief, draft, reply] = ['brief', 'draft', 'reply'].map(name => {
        const {earned, owed} = findKind(result, name);
        return earned / owed;
      });
      assert.ok(draft! >= brief!, `seed ${seed}: ${draft} below ${brief}`);
      assert.ok(reply! >= brief!, `seed ${seed}: ${reply} below ${brief}`);
    }
  });

  // Guards against requests to servers that leave, and against successors that get none.
  it('sends nothing to servers that stated that they leave, and uses them after their next start', () => {
    const smallCase = buildSmallCase({
      ...cases['leaving']!,
      leavings: [
        {atMs: 1000, servesOnMs: 2000, downMs: 200, serverRatio: 1},
        {atMs: 6000, servesOnMs: 3000, downMs: 500, serverRatio: 0.3},
      ],
    });
    const result = runExperiment(smallCase, 1);
    assert.is(result.sentAgainst.leaving, 0);
    const steady = runExperiment({...smallCase, leavings: []}, 1);
    const lostRatio = smallCase.leavings.reduce(
      (sum, {servesOnMs, downMs, serverRatio}) =>
        sum + ((servesOnMs + downMs) * serverRatio) / smallCase.durationMs,
      0,
    );
    assert.ok(
      result.credit > steady.credit * (1 - lostRatio),
      `credit ${result.credit}, ${steady.credit} without leaving servers`,
    );
  });

  // Guards against requests in a pause, and against servers that stay unused after it.
  it('sends nothing to servers that asked for a pause, and uses them after it', () => {
    const smallCase = buildSmallCase({
      ...cases['pausing']!,
      needs: [
        {atMs: 1000, durationMs: 1000, serverRatio: 0.3, pauseMs: 1500},
        {atMs: 6000, durationMs: 500, serverRatio: 0.5, pauseMs: 800},
      ],
    });
    const result = runExperiment(smallCase, 1);
    assert.is(result.sentAgainst.pauses, 0);
    const steady = runExperiment({...smallCase, needs: []}, 1);
    assert.is.not(result.credit, steady.credit, 'no server paused');
    const lostRatio = smallCase.needs.reduce(
      (sum, {durationMs, pauseMs = 0, serverRatio}) =>
        sum + ((durationMs + pauseMs) * serverRatio) / smallCase.durationMs,
      0,
    );
    assert.ok(
      result.credit > steady.credit * (1 - lostRatio),
      `credit ${result.credit}, ${steady.credit} without pauses`,
    );
  });

  // Guards against a loss to the limit itself that counts as one to its division.
  it('loses next to nothing to the division of a limit at one instance', () => {
    const seeds = [1, 2, 3];
    const [one, eight] = [1, 8].map(instances => {
      const costs = seeds.map(seed =>
        measureLimitCost({...cases['limited']!, instances}, seed),
      );
      const sum = (part: keyof (typeof costs)[0]) =>
        costs.reduce((total, cost) => total + cost[part], 0) / seeds.length;
      return {limit: sum('limit'), division: sum('division')};
    });
    const text = JSON.stringify({one, eight});
    assert.ok(one!.limit > 0.2 && eight!.limit > 0.2, text);
    assert.ok(Math.abs(one!.division) < eight!.division, text);
  });

  it('records exactly one result for every request', () => {
    const smallCase = buildSmallCase(cases['crash-between-bursts']!);
    const result = runExperiment({...smallCase, durationMs: 10_000}, 2);
    for (const kind of result.kinds) {
      const {requests, onTime, late, refused, failed} = kind;
      assert.is(onTime + late + refused + failed, requests, kind.name);
      assert.ok(requests > 0);
    }
  });
});
