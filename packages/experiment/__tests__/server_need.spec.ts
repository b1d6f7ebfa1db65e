/** Simulated servers that ask for less load. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createServerNeed} from '../src/server_need.js';

describe('a simulated server', () => {
  // Guards against a limit that costs nothing since its server takes everything.
  it('accepts half more than its limit in 4 s, and 5 requests', () => {
    const need = createServerNeed({requestsPerSecond: 2});
    const countAccepted = (now: number) =>
      Array.from({length: 30}, () => need.accept(now)).filter(Boolean).length;
    assert.is(countAccepted(0), 17);
    assert.is(countAccepted(3999), 0);
    assert.is(countAccepted(4000), 17);
    assert.not('pauseMs' in need.buildStatement(true));
  });

  it('that pauses refuses all, and states that in refusals only', () => {
    const need = createServerNeed({pauseMs: 1500});
    assert.not(need.accept(0));
    assert.equal(need.buildStatement(true), {pauseMs: 1500});
    assert.equal(need.buildStatement(false), {});
  });
});
