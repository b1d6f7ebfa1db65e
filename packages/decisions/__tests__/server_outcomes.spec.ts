import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {ServerOutcome, createServerOutcomes} from '../src/server_outcomes.js';

describe('server outcomes', () => {
  describe('a server that fails some of its requests', () => {
    it('has a failure rate that follows its failures and decays', () => {
      const outcomes = createServerOutcomes();
      for (let index = 0; index < 20; index++) {
        outcomes.record(
          'failing',
          index % 2 ? ServerOutcome.FAILED : ServerOutcome.ANSWERED,
          index * 10,
        );
        outcomes.record('healthy', ServerOutcome.ANSWERED, index * 10);
      }
      assert.ok(outcomes.computeFailureRate('failing', 200) > 0.35);
      assert.is(outcomes.computeFailureRate('healthy', 200), 0);
      assert.ok(outcomes.computeFailureRate('failing', 20_000) < 0.05);
    });

    it('has a low failure rate after a single failure', () => {
      const outcomes = createServerOutcomes();
      outcomes.record('server', ServerOutcome.FAILED, 0);
      assert.ok(outcomes.computeFailureRate('server', 0) < 0.5);
    });
  });

  describe('an unreachable server', () => {
    it('is in backoff, longer after each failure, up to a second', () => {
      const outcomes = createServerOutcomes();
      outcomes.record('unreachable', ServerOutcome.UNREACHABLE, 0);
      assert.ok(outcomes.isUnreachable('unreachable', 200));
      assert.not.ok(outcomes.isUnreachable('unreachable', 300));
      for (let now = 300; now < 5000; now += 300) {
        outcomes.record('unreachable', ServerOutcome.UNREACHABLE, now);
      }
      assert.ok(outcomes.isUnreachable('unreachable', 5700));
      assert.not.ok(outcomes.isUnreachable('unreachable', 6100));
    });

    it('is used again after its first answer', () => {
      const outcomes = createServerOutcomes();
      outcomes.record('server', ServerOutcome.UNREACHABLE, 0);
      outcomes.record('server', ServerOutcome.ANSWERED, 10);
      assert.not.ok(outcomes.isUnreachable('server', 11));
    });
  });
});
