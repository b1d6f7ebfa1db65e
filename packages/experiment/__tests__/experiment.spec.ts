import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  cases,
  createAgenda,
  createEngineModel,
  runExperiment,
} from '../src/index.js';
import type {ExperimentCase} from '../src/index.js';

/** The fleet of a case at about a sixth of its size. */
function buildSmallCase(described: ExperimentCase): ExperimentCase {
  return {
    ...described,
    instances: 15,
    servers: 11,
    durationMs: 12_000,
    kinds: described.kinds.map(kind => ({
      ...kind,
      requestsPerSecond: kind.requestsPerSecond / 5.7,
      shared: kind.shared.map(part => ({
        ...part,
        count: Math.ceil(part.count / 5.7),
      })),
    })),
  };
}

function findKind(result: ReturnType<typeof runExperiment>, name: string) {
  return result.kinds.find(kind => kind.name === name)!;
}

describe('engine model', () => {
  const profile = cases['steady']!.profile;

  function runJobs(parts: Array<Array<{key: string; tokens: number}>>) {
    const agenda = createAgenda();
    const engine = createEngineModel({profile, agenda});
    const firstAt: number[] = [];
    parts.forEach((jobParts, index) =>
      engine.submit({
        urgency: index,
        parts: jobParts,
        outputTokens: profile.tokensPerEvent,
        onEvent: () => (firstAt[index] = agenda.now),
        onBroken: () => assert.unreachable(),
      }),
    );
    agenda.advanceTo(60_000);
    return {firstAt, totals: engine.totals};
  }

  it('reads a part once that two prompts share', () => {
    const shared = {key: '/a', tokens: 10_000};
    const own = {key: '', tokens: 1000};
    const {totals} = runJobs([
      [shared, own],
      [shared, own],
    ]);
    assert.is(totals.readTokens, 12_000);
  });

  it('makes a short prompt behind a long one wait for its reading', () => {
    const short = [{key: '', tokens: 1000}];
    const alone = runJobs([short]).firstAt[0]!;
    const behind = runJobs([[{key: '', tokens: 50_000}], short]).firstAt[1]!;
    assert.ok(behind > alone + 50_000 / profile.readingTokensPerMs);
  });

  it('copies from another server in place of reading', () => {
    const agenda = createAgenda();
    const [source, target] = [1, 2].map(() =>
      createEngineModel({profile, agenda}),
    ) as [
      ReturnType<typeof createEngineModel>,
      ReturnType<typeof createEngineModel>,
    ];
    const job = {
      urgency: 0,
      parts: [
        {key: '/a', tokens: 10_000},
        {key: '', tokens: 500},
      ],
      outputTokens: 1,
      onEvent: () => undefined,
      onBroken: () => assert.unreachable(),
    };
    source.submit({...job});
    agenda.advanceTo(5000);
    target.submit({...job, copySource: source});
    agenda.advanceTo(10_000);
    assert.is(target.totals.copiedTokens, 10_000);
    assert.is(target.totals.readTokens, 500);
  });
});

describe('experiment', () => {
  it('gives the same result for the same seed', () => {
    const steady = buildSmallCase({...cases['steady']!, durationMs: 4000});
    assert.equal(runExperiment(steady, 3), runExperiment(steady, 3));
  });

  it('serves short questions better with servers of their own in a burst of long prompts', () => {
    const described = buildSmallCase(cases['burst-of-briefs']!);
    const divided = runExperiment(described, 1);
    const shared = runExperiment({...described, shortPromptPart: 0}, 1);
    const [withPool, without] = [divided, shared].map(
      result => findKind(result, 'reply').onTime,
    );
    assert.ok(withPool! > without!, `${withPool} of ${without}`);
  });

  it('settles every request once', () => {
    const described = buildSmallCase(cases['crash-between-bursts']!);
    const result = runExperiment({...described, durationMs: 10_000}, 2);
    for (const kind of result.kinds) {
      const {requests, onTime, late, refused, failed} = kind;
      assert.is(onTime + late + refused + failed, requests, kind.name);
      assert.ok(requests > 0);
    }
  });
});
