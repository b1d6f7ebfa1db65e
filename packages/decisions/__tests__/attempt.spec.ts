import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {Outcome} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import {
  AttemptEvent,
  ChunkVerdict,
  createAttemptRecord,
  createChunkSequence,
  isConnectFailure,
  mergeOutcomes,
} from '../src/index.js';

const SEED = 6;
const events = Object.values(AttemptEvent);

describe('attempt', () => {
  it('is not run only if no byte left or a refusal was the first answer', () => {
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...events)), order => {
        const attempt = createAttemptRecord();
        order.forEach(event => attempt.record(event));
        const sent = order.slice(order.indexOf(AttemptEvent.WRITTEN) + 1);
        const isSent = order.includes(AttemptEvent.WRITTEN);
        const answer = sent.find(event => event !== AttemptEvent.WRITTEN);
        const isProved = !isSent || answer === AttemptEvent.REFUSED;
        assert.is(attempt.getOutcome() === Outcome.NOT_RUN, isProved);
      }),
      {seed: SEED, numRuns: 2000},
    );
  });

  it('is not run after several attempts only if none can have run', () => {
    const outcome = fc.constantFrom<Outcome>(Outcome.NOT_RUN, Outcome.UNKNOWN);
    fc.assert(
      fc.property(fc.array(outcome, {minLength: 1}), attempts => {
        const merged = attempts.reduce((a, b) => mergeOutcomes(a, b));
        const isProved = attempts.every(item => item === Outcome.NOT_RUN);
        assert.is(merged === Outcome.NOT_RUN, isProved);
      }),
      {seed: SEED, numRuns: 500},
    );
  });

  it('takes only errors of connect() as proof that no byte left', () => {
    assert.ok(isConnectFailure({code: 'ECONNREFUSED', syscall: 'connect'}));
    assert.ok(isConnectFailure({code: 'UND_ERR_CONNECT_TIMEOUT'}));
    assert.not.ok(isConnectFailure({code: 'ECONNRESET', syscall: 'read'}));
    assert.not.ok(isConnectFailure({code: 'UND_ERR_SOCKET'}));
  });
});

describe('chunk sequence', () => {
  it('delivers each token once and in order, whatever arrives', () => {
    const chunk = fc.record({
      offset: fc.nat({max: 12}),
      tokens: fc.nat({max: 3}),
    });
    fc.assert(
      fc.property(
        fc.nat({max: 5}),
        fc.boolean(),
        fc.array(chunk),
        (offset, isDeterministic, chunks) => {
          const sequence = createChunkSequence({offset, isDeterministic});
          let expected = offset;
          for (const item of chunks) {
            const verdict = sequence.accept(item.offset, item.tokens);
            if (verdict === ChunkVerdict.DELIVER) {
              assert.is(item.offset, expected);
              expected += item.tokens;
            }
            assert.is(sequence.getOffset(), expected);
          }
        },
      ),
      {seed: SEED, numRuns: 1000},
    );
  });

  it('skips a repeated part only if it equals the delivered one', () => {
    const certain = createChunkSequence({offset: 4, isDeterministic: true});
    const other = createChunkSequence({offset: 4, isDeterministic: false});
    assert.is(certain.accept(0, 1), ChunkVerdict.SKIP);
    assert.is(other.accept(0, 1), ChunkVerdict.RESTARTED);
  });
});
