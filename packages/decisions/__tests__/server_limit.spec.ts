import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {createServerLimit} from '../src/index.js';
import type {LimitMessage, ServerLimit} from '../src/index.js';

const SEED = 20261204;
const STARTING = 4;
const MAXIMUM = 16;
const fast = {
  type: 'completed',
  msPerToken: 10,
  targetMsPerToken: 35,
} as const;
const slow = {type: 'completed', msPerToken: 50, targetMsPerToken: 35} as const;

function makeLimit(): ServerLimit {
  return createServerLimit({
    startingRequests: STARTING,
    maximumRequests: MAXIMUM,
  });
}

function stepTimes(
  limit: ServerLimit,
  message: LimitMessage,
  times: number,
): void {
  for (let count = 0; count < times; count++) {
    limit.step(message);
  }
}

const messages: fc.Arbitrary<LimitMessage> = fc.oneof(
  {weight: 40, arbitrary: fc.constantFrom(fast, slow)},
  {weight: 1, arbitrary: fc.constant({type: 'failed' as const})},
  {
    weight: 1,
    arbitrary: fc.record({
      type: fc.constant('report' as const),
      incarnation: fc.constantFrom('i-1', 'i-2'),
      completed: fc.nat({max: 100}),
    }),
  },
);

describe('server limit', () => {
  it('stays between the cold and the warm limit', () => {
    fc.assert(
      fc.property(fc.array(messages, {maxLength: 400}), list => {
        const limit = makeLimit();
        for (const message of list) {
          limit.step(message);
          assert.ok(limit.limit >= STARTING && limit.limit <= MAXIMUM);
          assert.ok(limit.phase !== 'cold' || limit.limit === STARTING);
        }
      }),
      {seed: SEED, numRuns: 300},
    );
  });

  it('grows only by completed requests, by at most one each', () => {
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom<LimitMessage>(fast, slow), {maxLength: 300}),
        list => {
          const limit = makeLimit();
          let before = limit.limit;
          list.forEach((message, index) => {
            limit.step(message);
            assert.ok(limit.limit <= before + 1);
            assert.ok(index >= 8 * STARTING || limit.limit === STARTING);
            before = limit.limit;
          });
        },
      ),
      {seed: SEED, numRuns: 200},
    );
  });

  it('reaches the warm limit and decreases by a ratio when answers are slow', () => {
    const limit = makeLimit();
    stepTimes(limit, fast, 8 * STARTING + MAXIMUM);
    assert.is(limit.phase, 'serving');
    assert.is(limit.limit, MAXIMUM);
    stepTimes(limit, slow, 2 * MAXIMUM);
    assert.is(limit.phase, 'warming');
    assert.ok(limit.limit <= Math.ceil(MAXIMUM * 0.8));
  });

  it('is reset to cold by a failure, a new incarnation or a lower count', () => {
    const causes: LimitMessage[] = [
      {type: 'failed'},
      {type: 'report', incarnation: 'i-2', completed: 100},
      {type: 'report', incarnation: 'i-1', completed: 0},
    ];
    for (const cause of causes) {
      const limit = makeLimit();
      limit.step({type: 'report', incarnation: 'i-1', completed: 100});
      assert.is(limit.limit, MAXIMUM);
      limit.step(cause);
      assert.is(limit.phase, 'cold');
      assert.is(limit.limit, STARTING);
    }
  });

  it('holds the cold limit twice as long after a failure during warm-up', () => {
    const limit = makeLimit();
    stepTimes(limit, fast, 8 * STARTING + 1);
    assert.is(limit.phase, 'warming');
    limit.step({type: 'failed'});
    stepTimes(limit, fast, 16 * STARTING - 1);
    assert.is(limit.phase, 'cold');
    limit.step(fast);
    assert.is(limit.phase, 'warming');
  });

  it('is 0 while draining or out, and is cold after a return', () => {
    const limit = makeLimit();
    limit.step({type: 'drain'});
    assert.is(limit.limit, 0);
    limit.step({type: 'idle'});
    assert.is(limit.phase, 'out');
    limit.step({type: 'return'});
    assert.is(limit.limit, STARTING);
  });
});
