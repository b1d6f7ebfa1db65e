/** Which lost connections are evidence against a prompt; without a network. */
import {createManualClock} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createQuarantineGuard} from '../src/relay/quarantine_guard.js';
import {createServerEntry, silentLogger} from './support/fixtures.js';

const CRASHES = 4;

/** Cuts requests with one block at several servers; returns whether it is refused. */
async function runCuts(hasEnded: boolean, eventCount: number) {
  const clock = createManualClock();
  const guard = createQuarantineGuard({
    selfId: 'a',
    listInstances: () => ['a'],
    probe: {hasEnded: async () => hasEnded},
    clock,
    logger: silentLogger,
  });
  const prompt = {requestHash: 0, blockHashes: [1], customerHash: 0};
  for (let crash = 1; crash <= CRASHES; crash++) {
    guard.handleCut({
      requestId: `r${crash}`,
      server: createServerEntry({id: `s${crash}`}),
      blocks: [],
      prompt: {...prompt, requestHash: crash},
      reason: 'econnreset',
      eventCount,
      headAt: crash * 1000 - 50,
      at: crash * 1000,
    });
    await Promise.resolve();
    await Promise.resolve();
  }
  return guard.isQuarantined(prompt);
}

describe('quarantine guard', () => {
  it('takes requests without an event as evidence if their servers have ended', async () => {
    assert.ok(await runCuts(true, 0));
  });

  // Cuts, resets, lost answers and garbled ones must not convict a sound block.
  it('takes no cut as evidence if the server goes on accepting connections', async () => {
    assert.not(await runCuts(false, 0));
  });

  it('takes no request as evidence whose answer was under way', async () => {
    assert.not(await runCuts(true, 1));
  });
});
