/** Judgement of servers by the outcomes of their requests. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {ServerOutcome, createServerOutcomes} from '../src/server_outcomes.js';

describe('server outcomes', () => {
  describe('a server that fails part of its requests', () => {
    it('has a failure rate that follows them and fades', () => {
      const outcomes = createServerOutcomes();
      for (let index = 0; index < 20; index++) {
        outcomes.record(
          'grey',
          index % 2 ? ServerOutcome.FAILED : ServerOutcome.ANSWERED,
          index * 10,
        );
        outcomes.record('sound', ServerOutcome.ANSWERED, index * 10);
      }
      assert.ok(outcomes.computeFailureRate('grey', 200) > 0.35);
      assert.is(outcomes.computeFailureRate('sound', 200), 0);
      assert.ok(outcomes.computeFailureRate('grey', 20_000) < 0.05);
    });

    it('is not judged by a single failure alone', () => {
      const outcomes = createServerOutcomes();
      outcomes.record('server', ServerOutcome.FAILED, 0);
      assert.ok(outcomes.computeFailureRate('server', 0) < 0.5);
    });
  });

  describe('a server that cannot be reached', () => {
    it('is paused, longer with each failure, up to a second', () => {
      const outcomes = createServerOutcomes();
      outcomes.record('dark', ServerOutcome.UNREACHABLE, 0);
      assert.ok(outcomes.isUnreachable('dark', 200));
      assert.not.ok(outcomes.isUnreachable('dark', 300));
      for (let now = 300; now < 5000; now += 300) {
        outcomes.record('dark', ServerOutcome.UNREACHABLE, now);
      }
      assert.ok(outcomes.isUnreachable('dark', 5700));
      assert.not.ok(outcomes.isUnreachable('dark', 6100));
    });

    it('is used again after its first answer', () => {
      const outcomes = createServerOutcomes();
      outcomes.record('server', ServerOutcome.UNREACHABLE, 0);
      outcomes.record('server', ServerOutcome.ANSWERED, 10);
      assert.not.ok(outcomes.isUnreachable('server', 11));
    });
  });
});
