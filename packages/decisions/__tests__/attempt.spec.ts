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
  it('is NOT_RUN only if no byte was sent or the first response was a refusal', () => {
    fc.assert(
      fc.property(fc.array(fc.constantFrom(...events)), order => {
        const attempt = createAttemptRecord();
        order.forEach(event => attempt.record(event));
        const afterWrite = order.slice(order.indexOf(AttemptEvent.WRITTEN) + 1);
        const isSent = order.includes(AttemptEvent.WRITTEN);
        const firstResponse = afterWrite.find(
          event => event !== AttemptEvent.WRITTEN,
        );
        const isProvedNotRun =
          !isSent || firstResponse === AttemptEvent.REFUSED;
        assert.is(attempt.getOutcome() === Outcome.NOT_RUN, isProvedNotRun);
      }),
      {seed: SEED, numRuns: 2000},
    );
  });

  it('is NOT_RUN after several attempts only if every attempt is', () => {
    const outcome = fc.constantFrom<Outcome>(Outcome.NOT_RUN, Outcome.UNKNOWN);
    fc.assert(
      fc.property(fc.array(outcome, {minLength: 1}), attempts => {
        const merged = attempts.reduce((a, b) => mergeOutcomes(a, b));
        const isProvedNotRun = attempts.every(item => item === Outcome.NOT_RUN);
        assert.is(merged === Outcome.NOT_RUN, isProvedNotRun);
      }),
      {seed: SEED, numRuns: 500},
    );
  });

  it('treats only connect errors as proof that no byte was sent', () => {
    assert.ok(isConnectFailure({code: 'ECONNREFUSED', syscall: 'connect'}));
    assert.ok(isConnectFailure({code: 'UND_ERR_CONNECT_TIMEOUT'}));
    assert.not.ok(isConnectFailure({code: 'ECONNRESET', syscall: 'read'}));
    assert.not.ok(isConnectFailure({code: 'UND_ERR_SOCKET'}));
  });
});

describe('chunk sequence', () => {
  it('delivers each token once and in order for any chunks', () => {
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

  it('skips repeated tokens only if they equal the delivered ones', () => {
    const deterministic = createChunkSequence({
      offset: 4,
      isDeterministic: true,
    });
    const nondeterministic = createChunkSequence({
      offset: 4,
      isDeterministic: false,
    });
    assert.is(deterministic.accept(0, 1), ChunkVerdict.SKIP);
    assert.is(nondeterministic.accept(0, 1), ChunkVerdict.RESTARTED);
  });
});
