import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {createServerQueue} from '../src/index.js';
import type {
  QueueAction,
  QueueMessage,
  QueuedRequest,
  ServerQueue,
} from '../src/index.js';

const SEED = 20261204;

function makeRequest(
  attemptId: string,
  tier: number,
  changes: Partial<QueuedRequest> = {},
): QueuedRequest {
  return {
    attemptId,
    className: `tier-${tier}`,
    customerId: 'customer',
    tier,
    deadline: 1e9,
    estimatedTokens: 10,
    ...changes,
  };
}

type Command =
  | {type: 'enqueue'; tier: number; tokens: number; slack: number}
  | {type: 'end' | 'cancel'; pick: number}
  | {type: 'set_limit'; limit: number}
  | {type: 'wait'; ms: number};

const commands: fc.Arbitrary<Command[]> = fc.array(
  fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        type: fc.constant('enqueue' as const),
        tier: fc.integer({min: 1, max: 4}),
        tokens: fc.integer({min: 1, max: 500}),
        slack: fc.integer({min: 0, max: 2000}),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        type: fc.constantFrom('end' as const, 'cancel' as const),
        pick: fc.nat(),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        type: fc.constant('set_limit' as const),
        limit: fc.integer({min: 0, max: 6}),
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        type: fc.constant('wait' as const),
        ms: fc.integer({min: 1, max: 500}),
      }),
    },
  ),
  {maxLength: 120},
);

/** Reference model that tracks the state of a queue by its actions only. */
class QueueModel {
  readonly waiting = new Map<string, QueuedRequest>();
  readonly running = new Map<string, QueuedRequest>();
  readonly stopping = new Set<string>();
  now = 0;
  private count = 0;

  constructor(readonly queue: ServerQueue) {}

  send(message: QueueMessage): QueueAction[] {
    const actions = this.queue.step(message, this.now);
    actions.forEach(action => this.applyAction(action));
    return actions;
  }

  runCommand(command: Command): QueueAction[] {
    if (command.type === 'enqueue') {
      const {tier, tokens, slack} = command;
      this.count += 1;
      const request = makeRequest(`a-${this.count}`, tier, {
        estimatedTokens: tokens,
        deadline: this.now + slack,
        customerId: `c-${this.count % 3}`,
      });
      this.waiting.set(request.attemptId, request);
      return this.send({type: 'enqueue', request});
    }
    if (command.type === 'set_limit') {
      return this.send(command);
    }
    if (command.type === 'wait') {
      this.now += command.ms;
      return this.send({type: 'tick'});
    }
    const candidates = command.type === 'end' ? this.running : this.waiting;
    const ids = [...candidates.keys()];
    if (ids.length === 0) {
      return [];
    }
    const attemptId = ids[command.pick % ids.length]!;
    candidates.delete(attemptId);
    this.stopping.delete(attemptId);
    const type = command.type === 'end' ? 'finish' : 'cancel';
    return this.send({type, attemptId});
  }

  private applyAction({type, request}: QueueAction): void {
    const {attemptId} = request;
    if (type === 'dispatch') {
      assert.ok(this.waiting.delete(attemptId), 'dispatched once');
      assert.ok(this.running.size < this.queue.limit, 'within the limit');
      this.running.set(attemptId, request);
      return;
    }
    if (type === 'preempt') {
      const higher = [...this.waiting.values()].some(
        item => item.tier < request.tier,
      );
      assert.ok(higher, 'preempted for a waiting request of a higher tier');
      this.stopping.add(attemptId);
      return;
    }
    assert.ok(this.waiting.delete(attemptId), 'refused while waiting');
    const others = [
      ...this.waiting.values(),
      ...[...this.running.values()].filter(
        item => !this.stopping.has(item.attemptId),
      ),
    ];
    assert.not(
      others.some(item => item.tier > request.tier),
      'no request of a lower tier is kept',
    );
  }
}

describe('server queue', () => {
  it('never runs more requests than its limit', () => {
    const queue = createServerQueue({limit: 2});
    for (const id of ['a', 'b', 'c']) {
      queue.step({type: 'enqueue', request: makeRequest(id, 1)}, 0);
    }
    assert.is(queue.countRunning(), 2);
    assert.is(queue.countQueued(), 1);
  });

  it('dispatches the higher tier first', () => {
    const queue = createServerQueue({limit: 1});
    queue.step({type: 'enqueue', request: makeRequest('running', 1)}, 0);
    queue.step({type: 'enqueue', request: makeRequest('low', 4)}, 0);
    queue.step({type: 'enqueue', request: makeRequest('high', 1)}, 0);
    const actions = queue.step({type: 'finish', attemptId: 'running'}, 0);
    assert.is(actions[0]?.request.attemptId, 'high');
  });

  it('keeps its limits and the tier order for any messages', () => {
    fc.assert(
      fc.property(commands, list => {
        const maximumQueued = 5;
        const maximumQueuedTokens = 1200;
        const tokensPerRequest = 200;
        const queue = createServerQueue({
          limit: 3,
          maximumQueued,
          maximumQueuedTokens,
          tokensPerRequest,
        });
        const model = new QueueModel(queue);
        for (const command of list) {
          const actions = model.runCommand(command);
          assert.is(queue.countRunning(), model.running.size);
          assert.is(queue.countQueued(), model.waiting.size);
          const bound = maximumQueued + model.stopping.size;
          assert.ok(queue.countQueued() <= bound, 'bounded by count');
          const sum = (items: Iterable<QueuedRequest>) =>
            [...items].reduce((total, item) => total + item.estimatedTokens, 0);
          const stopping = [...model.running.values()].filter(item =>
            model.stopping.has(item.attemptId),
          );
          const isWithinTokens =
            sum(model.waiting.values()) <= maximumQueuedTokens + sum(stopping);
          assert.ok(isWithinTokens || model.waiting.size === 1);
          if (actions.some(action => action.type === 'dispatch')) {
            const isWithinRunning =
              sum(model.running.values()) <= tokensPerRequest * queue.limit;
            assert.ok(isWithinRunning || model.running.size === 1);
          }
        }
      }),
      {seed: SEED, numRuns: 500},
    );
  });

  it('refuses every waiting request when it drains', () => {
    const queue = createServerQueue({limit: 1});
    for (const id of ['a', 'b', 'c']) {
      queue.step({type: 'enqueue', request: makeRequest(id, 1)}, 0);
    }
    const actions = queue.step({type: 'drain', code: 'no_server'}, 0);
    assert.equal(
      actions.map(action => [action.type, action.request.attemptId]),
      [
        ['refuse', 'b'],
        ['refuse', 'c'],
      ],
    );
    assert.is(queue.countRunning(), 1);
    assert.equal(queue.step({type: 'finish', attemptId: 'a'}, 1), []);
  });

  it('preempts the lowest tier for an urgent request only', () => {
    const queue = createServerQueue({limit: 1, leadMs: 100});
    queue.step({type: 'enqueue', request: makeRequest('brief', 4)}, 0);
    const high = makeRequest('high', 1, {deadline: 400});
    assert.equal(queue.step({type: 'enqueue', request: high}, 0), []);
    assert.equal(queue.step({type: 'tick'}, 90), [], 'not urgent yet');
    const actions = queue.step({type: 'tick'}, 250);
    assert.equal(
      actions.map(action => [action.type, action.request.attemptId]),
      [['preempt', 'brief']],
    );
    assert.equal(queue.step({type: 'tick'}, 260), [], 'preempts once');
    const next = queue.step({type: 'finish', attemptId: 'brief'}, 270);
    assert.is(next[0]?.request.attemptId, 'high');
  });

  describe('fairness', () => {
    it('serves customers with a backlog by weight', () => {
      const weights = fc.array(fc.integer({min: 1, max: 4}), {
        minLength: 2,
        maxLength: 5,
      });
      const sizes = fc.array(fc.integer({min: 1, max: 800}), {
        minLength: 40,
        maxLength: 40,
      });
      fc.assert(
        fc.property(weights, sizes, (weightList, sizeList) => {
          const served = weightList.map(() => 0);
          const queue = createServerQueue({
            limit: 1,
            maximumQueued: 1000,
            getWeight: id => weightList[Number(id)]!,
          });
          let count = 0;
          const add = (customer: number) => {
            count += 1;
            const request = makeRequest(`${customer}:${count}`, 2, {
              customerId: String(customer),
              estimatedTokens: sizeList[count % sizeList.length]!,
            });
            return queue.step({type: 'enqueue', request}, 0);
          };
          let actions: QueueAction[] = [];
          weightList.forEach((_, customer) => {
            actions.push(...add(customer), ...add(customer));
          });
          for (let round = 0; round < 150; round++) {
            const {request} = actions[0]!;
            const customer = Number(request.customerId);
            served[customer]! += request.estimatedTokens;
            add(customer);
            actions = queue.step(
              {type: 'finish', attemptId: request.attemptId},
              0,
            );
          }
          const normalised = served.map((sum, i) => sum / weightList[i]!);
          const spread = Math.max(...normalised) - Math.min(...normalised);
          // Bound: the fairness quantum plus one largest request on each side.
          assert.ok(spread <= 1000 + 2 * 800, `spread ${spread}`);
        }),
        {seed: SEED, numRuns: 200},
      );
    });

    it('gives a class with a backlog its minimum share of tokens', () => {
      const shares = fc.tuple(
        fc.integer({min: 0, max: 30}),
        fc.integer({min: 0, max: 30}),
        fc.integer({min: 0, max: 30}),
      );
      const sizes = fc.array(fc.integer({min: 1, max: 300}), {
        minLength: 30,
        maxLength: 30,
      });
      fc.assert(
        fc.property(shares, sizes, (percent, sizeList) => {
          const served = [0, 0, 0];
          const queue = createServerQueue({
            limit: 1,
            getMinimumShare: name => percent[Number(name)]! / 100,
          });
          let count = 0;
          const add = (index: number) => {
            count += 1;
            const request = makeRequest(`${count}`, index + 1, {
              className: String(index),
              estimatedTokens: sizeList[count % sizeList.length]!,
            });
            return queue.step({type: 'enqueue', request}, 0);
          };
          let actions = [0, 0, 1, 1, 2, 2].flatMap(add);
          for (let round = 0; round < 300; round++) {
            const {request} = actions[0]!;
            served[Number(request.className)]! += request.estimatedTokens;
            add(Number(request.className));
            const {attemptId} = request;
            actions = queue.step({type: 'finish', attemptId}, 0);
          }
          const total = served[0]! + served[1]! + served[2]!;
          served.forEach((tokens, index) => {
            // A class may lag by one largest request per class.
            const least = (percent[index]! / 100) * total - 3 * 300;
            assert.ok(tokens >= least, `class ${index}: ${tokens} < ${least}`);
          });
        }),
        {seed: SEED, numRuns: 200},
      );
    });
  });
});
