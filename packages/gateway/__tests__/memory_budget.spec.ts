/** Accounts of the memory of bodies and responses, without a network. */
import {
  createManualClock,
  createSystemClock,
  waitFor,
} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createBufferCollector} from '../src/memory/buffer_collector.js';
import {
  computeConnectionLimits,
  computeMemoryBudget,
} from '../src/memory/machine_limits.js';
import {MemoryUse, createMemoryBudget} from '../src/memory/memory_budget.js';
import {createRequestMemory} from '../src/memory/request_memory.js';

const LIMIT_BYTES = 1000;
/** Longer than the pause after which a sender counts as slow. */
const STALLED_MS = 1000;

function createFixture() {
  const clock = createManualClock();
  const budget = createMemoryBudget({limitBytes: LIMIT_BYTES, clock});
  const evicted: string[] = [];
  function openBody(name: string, isKnown: boolean) {
    return budget.openAccount({
      use: MemoryUse.RECEIVING,
      isKnown,
      evict: () => evicted.push(name),
    });
  }
  return {clock, budget, evicted, openBody};
}

describe('the memory budget', () => {
  it('refuses what exceeds it and keeps what was there', () => {
    const {budget, openBody} = createFixture();
    const body = openBody('a', true);
    assert.ok(body.resize(700));
    assert.not(body.resize(1100));
    assert.is(budget.heldBytes, 700);
  });

  it('leaves a part to responses', () => {
    const {budget, openBody} = createFixture();
    assert.not(openBody('a', true).resize(900));
    const response = budget.openAccount({
      use: MemoryUse.RESPONSE,
      isKnown: true,
    });
    assert.ok(response.resize(900));
  });

  // Guards against clients without a key that keep the others from being served.
  it('takes memory from requests without a known key first', () => {
    const {evicted, openBody} = createFixture();
    openBody('known', true).resize(300);
    openBody('unknown', false).resize(300);
    assert.ok(openBody('new', true).resize(400));
    assert.equal(evicted, ['unknown']);
  });

  it('takes memory from the body that has stopped for the longest time', () => {
    const {clock, evicted, openBody} = createFixture();
    openBody('first', true).resize(300);
    clock.advance(10);
    openBody('second', true).resize(300);
    clock.advance(STALLED_MS);
    assert.ok(openBody('new', true).resize(400));
    assert.equal(evicted, ['first']);
  });

  it('takes no memory from bodies that go on, or that are complete', () => {
    const {clock, evicted, openBody} = createFixture();
    const complete = openBody('complete', true);
    complete.resize(300);
    complete.setUse(MemoryUse.BODY);
    const moving = openBody('moving', true);
    moving.resize(300);
    clock.advance(STALLED_MS);
    moving.recordProgress();
    assert.not(openBody('new', true).resize(400));
    assert.equal(evicted, []);
  });

  it('releases each account once, however often it is asked to', () => {
    const {budget, openBody} = createFixture();
    const body = openBody('a', true);
    const other = openBody('b', true);
    body.resize(300);
    other.resize(100);
    body.release();
    body.release();
    body.setUse(MemoryUse.BODY);
    assert.not(body.resize(10));
    assert.is(budget.heldBytes, 100);
    other.release();
    assert.is(budget.heldBytes, 0);
  });

  it('has no limit by default', () => {
    const budget = createMemoryBudget({clock: createManualClock()});
    const body = budget.openAccount({use: MemoryUse.BODY, isKnown: false});
    assert.ok(body.resize(Number.MAX_SAFE_INTEGER));
  });
});

/** Ways in which a request ends, with the bytes that it may hold before its release. */
const ENDS = {
  'before its body': () => undefined,
  'with a refused body': memory => {
    memory.openBody(() => undefined).release();
  },
  'after its body': memory => {
    memory.openBody(() => undefined).resize(300);
    memory.markComplete();
  },
  'after two attempts': memory => {
    memory.openBody(() => undefined).resize(100);
    memory.openResponse().resize(100);
    memory.openResponse().resize(200);
  },
  'with a response that is not read': memory => {
    memory.openResponse().resize(100);
    memory.openResponse().resize(200);
    memory.setUnread(200, true);
    memory.setUnread(100, false);
  },
  'within a stream': memory => {
    memory.openResponse().resize(100);
    memory.setUnread(200, false);
    memory.setUnread(0, false);
    memory.setUnread(50, false);
  },
} as const satisfies Record<
  string,
  (memory: ReturnType<typeof createRequestMemory>) => void
>;

describe('the memory of a request', () => {
  for (const [name, run] of Object.entries(ENDS)) {
    // Guards against a budget that is used up by requests that have ended.
    it(`is released if the request ends ${name}`, () => {
      const budget = createMemoryBudget({
        limitBytes: LIMIT_BYTES,
        clock: createManualClock(),
      });
      const memory = createRequestMemory({
        budget,
        closeResponse: () => undefined,
      });
      run(memory);
      memory.endRelay();
      memory.release();
      memory.release();
      memory.setUnread(100, false);
      assert.is(budget.heldBytes, 0);
    });
  }

  // Guards against a response that is no longer counted while its caller reads it.
  it('holds the whole buffer of a response until its end', () => {
    const budget = createMemoryBudget({clock: createManualClock()});
    const memory = createRequestMemory({
      budget,
      closeResponse: () => undefined,
    });
    memory.openResponse().resize(400);
    memory.setUnread(400, true);
    memory.endRelay();
    memory.setUnread(16, false);
    assert.is(budget.heldBytes, 400);
  });

  it('closes a response that is not read for others', () => {
    const clock = createManualClock();
    const budget = createMemoryBudget({limitBytes: LIMIT_BYTES, clock});
    let isClosed = false;
    const memory = createRequestMemory({
      budget,
      closeResponse: () => (isClosed = true),
    });
    memory.openResponse().resize(800);
    memory.setUnread(800, true);
    clock.advance(STALLED_MS);
    const other = budget.openAccount({use: MemoryUse.RESPONSE, isKnown: true});
    assert.ok(other.resize(400));
    assert.ok(isClosed);
  });
});

describe('the collector of released buffers', () => {
  it('collects young buffers after a number of bytes read', () => {
    const types: Array<string | undefined> = [];
    const collector = createBufferCollector({
      maximumUncollectedBytes: 1000,
      clock: createManualClock(),
      collectGarbage: options => types.push(options?.type),
    });
    collector.countRead(900);
    assert.equal(types, []);
    collector.countRead(200);
    assert.equal(types, ['minor']);
    assert.is(collector.uncollectedBytes, 0);
  });

  it('counts a released buffer until a full collection', async () => {
    const collector = createBufferCollector({
      maximumUncollectedBytes: 100_000,
      clock: createSystemClock(),
      collectGarbage: () => undefined,
    });
    collector.countReleased(200_000);
    // A closing connection may still refer to the buffer.
    collector.collect();
    assert.is(collector.uncollectedBytes, 200_000);
    for (
      let tries = 0;
      collector.uncollectedBytes > 0 && tries < 200;
      tries++
    ) {
      await waitFor(10);
    }
    assert.is(collector.uncollectedBytes, 0);
  });
});

describe('the limits of a machine', () => {
  it('are absent without settings', () => {
    assert.is(computeMemoryBudget({}), Infinity);
    assert.is(computeConnectionLimits({}).maximumConnections, Infinity);
  });

  // Guards against a smallest machine that cannot serve the largest legal request.
  it('hold several of the largest bodies on the smallest machine', () => {
    assert.ok(computeMemoryBudget({memoryMb: 160}) >= 5 * 4_194_304);
    const limits = computeConnectionLimits({maximumDescriptors: 2212});
    assert.ok(limits.maximumConnections >= 1000);
    assert.ok(limits.maximumRequests >= 500);
  });
});
