import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {createServerQueue} from '../src/index.js';
import type {QueuedRequest} from '../src/index.js';

function makeRequest(attemptId: string, tier: number): QueuedRequest {
  return {
    attemptId,
    className: `tier-${tier}`,
    customerId: 'customer',
    tier,
    deadline: 0,
    estimatedTokens: 10,
  };
}

describe('server queue', () => {
  it('never runs more than its limit', () => {
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
});
