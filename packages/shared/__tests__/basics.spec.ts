import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {
  Outcome,
  RouterError,
  createLogger,
  createManualClock,
  createRandom,
  errorTable,
  rankByRendezvous,
  toRouterError,
} from '../src/index.js';
import type {Logger} from '../src/index.js';

function createLineLogger(level: 'info' | 'error'): {
  lines: string[];
  logger: Logger;
} {
  const lines: string[] = [];
  const logger = createLogger({
    level,
    context: {instance: 'entry-1'},
    write: line => lines.push(line),
  });
  return {lines, logger};
}

describe('errors', () => {
  it('have a status, a title and advice for every code', () => {
    for (const [code, entry] of Object.entries(errorTable)) {
      assert.ok(entry.status >= 400 && entry.status < 600, code);
      assert.ok(entry.title.length > 0 && entry.advice.length > 0, code);
    }
  });

  it('have the outcome unknown when another error is wrapped', () => {
    const wrapped = toRouterError(new TypeError('broken'));
    assert.is(wrapped.outcome, Outcome.UNKNOWN);
    assert.is(wrapped.code, 'internal');
  });

  it('are not wrapped again', () => {
    const error = new RouterError('overloaded', 'full');
    assert.is(toRouterError(error), error);
  });
});

describe('logger', () => {
  it('writes one line of key=value pairs and quotes if needed', () => {
    const {lines, logger} = createLineLogger('info');
    logger.info('event', {
      plain: 'a-1',
      text: 'two words\nand a line',
      absent: undefined,
    });
    assert.is(lines.length, 1);
    assert.match(
      lines[0]!,
      / level=info event=event instance=entry-1 plain=a-1 text="two words\\nand a line"$/,
    );
  });

  it('writes the audit trail at any level', () => {
    const {lines, logger} = createLineLogger('error');
    logger.info('hidden');
    logger.audit('file_set_accepted', {revision: 2});
    assert.is(lines.length, 1);
    assert.match(lines[0]!, /change=file_set_accepted revision=2$/);
  });
});

describe('random source', () => {
  it('gives the same numbers for the same seed', () => {
    const makeNumbers = () => {
      const random = createRandom(7);
      return Array.from({length: 5}, () => random.nextInt(1000));
    };
    assert.equal(makeNumbers(), makeNumbers());
  });
});

describe('rendezvous ranking', () => {
  it('moves only the keys of a removed candidate', () => {
    const all = ['a', 'b', 'c', 'd'];
    const fewer = ['a', 'b', 'd'];
    for (let key = 0; key < 200; key++) {
      const before = rankByRendezvous(`key-${key}`, all)[0]!;
      const after = rankByRendezvous(`key-${key}`, fewer)[0]!;
      assert.ok(before === 'c' || before === after);
    }
  });
});

describe('manual clock', () => {
  it('changes only when it is advanced', () => {
    const clock = createManualClock(10);
    clock.advance(5);
    assert.is(clock.now(), 15);
  });
});
