import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {Outcome, RouterError} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import {
  computeBodyDigest,
  createKeyRegistry,
  createTicketTable,
  decodeTicket,
  encodeTicket,
  validateTicketCall,
} from '../src/index.js';
import type {Ticket, TicketResult, TicketTable} from '../src/index.js';
import {runExploration} from '../src/ticket_check/explore.js';
import {createTicketModel} from '../src/ticket_check/model.js';

const SEED = 6;
const KEY = 'a-key-for-tests-0001';
/** Limited for CI; `npm run check:tickets` searches deeper. */
const CI_DEPTH = 5;
const CI_FAULT_DEPTH = 8;

const ticket: Ticket = {
  customerId: 'clinic',
  serviceName: 'registry',
  method: 'POST',
  path: '/certificates',
  bodyDigest: computeBodyDigest(Buffer.from('{}')),
  issuerId: 'entry-1',
  issuerIncarnation: 'run-1',
  sequence: 1,
  expiresAt: 1000,
  idempotencyKey: 'key-1',
};

function getCode(action: () => unknown): string {
  try {
    action();
    return 'none';
  } catch (error) {
    return error instanceof RouterError ? error.code : 'not a RouterError';
  }
}

function makeResult(outcome: Outcome, bytes = 0): TicketResult {
  const body = new Uint8Array(bytes);
  return {outcome, code: '', detail: '', status: 200, contentType: '', body};
}

function issueTicket(table: TicketTable, incarnation = 'run-1', now = 0) {
  return {issuerIncarnation: incarnation, ...table.issue(now)};
}

describe('ticket encoding', () => {
  it('decodes to the same ticket', () => {
    assert.equal(decodeTicket(encodeTicket(ticket, KEY), KEY), ticket);
  });

  it('is rejected with ticket_invalid after any change', () => {
    const text = encodeTicket(ticket, KEY);
    fc.assert(
      fc.property(
        fc.nat({max: text.length}),
        fc.nat({max: 4}),
        fc.string({maxLength: 4}),
        (start, removed, added) => {
          const end = start + removed;
          const changed = text.slice(0, start) + added + text.slice(end);
          fc.pre(changed !== text);
          assert.is(
            getCode(() => decodeTicket(changed, KEY)),
            'ticket_invalid',
          );
        },
      ),
      {seed: SEED, numRuns: 1000},
    );
  });

  it('is rejected if it is not a ticket or was signed with another key', () => {
    for (const value of [null, 7, {}, {...ticket, sequence: 'x'}]) {
      const text = encodeTicket(value as Ticket, KEY);
      assert.is(
        getCode(() => decodeTicket(text, KEY)),
        'ticket_invalid',
      );
    }
    const otherSigned = encodeTicket(ticket, 'another-key-of-tests');
    assert.is(
      getCode(() => decodeTicket(otherSigned, KEY)),
      'ticket_invalid',
    );
  });

  it('is bound to customer, service, method, path and body', () => {
    validateTicketCall(ticket, ticket);
    for (const name of [
      'customerId',
      'serviceName',
      'method',
      'path',
      'bodyDigest',
    ] as const) {
      const call = {...ticket, [name]: 'other'};
      assert.is(
        getCode(() => validateTicketCall(ticket, call)),
        'ticket_invalid',
      );
    }
  });
});

describe('ticket table', () => {
  it('executes once, makes repeated claims wait, then replays the result', () => {
    const table = createTicketTable({incarnation: 'run-1'});
    const issued = issueTicket(table);
    assert.is(table.claim(issued, 1).type, 'execute');
    assert.is(table.claim(issued, 1).type, 'wait');
    table.store(issued, makeResult(Outcome.COMPLETED));
    assert.is(table.claim(issued, 1).type, 'replay');
  });

  it('refuses a ticket of another incarnation with the outcome UNKNOWN', () => {
    const table = createTicketTable({incarnation: 'run-2'});
    const decision = table.claim(ticket, 0);
    assert.is(decision.type, 'refuse');
    assert.is('outcome' in decision && decision.outcome, Outcome.UNKNOWN);
  });

  it('reports NOT_RUN for an expired ticket only if it cannot have run', () => {
    const table = createTicketTable({
      incarnation: 'run-1',
      capacity: 1,
      lifetimeMs: 10,
    });
    const [first, second, third] = [1, 2, 3].map(() => issueTicket(table));
    table.claim(second!, 0);
    table.store(second!, makeResult(Outcome.COMPLETED));
    const unclaimed = table.claim(third!, 10);
    assert.is('outcome' in unclaimed && unclaimed.outcome, Outcome.NOT_RUN);
    // The claim of a fourth ticket evicts the second one and raises the floor.
    table.claim(issueTicket(table, 'run-1', 10), 10);
    for (const old of [first!, second!]) {
      const decision = table.claim(old, 10);
      assert.is('outcome' in decision && decision.outcome, Outcome.UNKNOWN);
    }
  });

  it('never evicts a running call', () => {
    const table = createTicketTable({incarnation: 'run-1', capacity: 1});
    const running = issueTicket(table);
    table.claim(running, 0);
    const decision = table.claim(issueTicket(table), 0);
    assert.is('code' in decision && decision.code, 'overloaded');
    assert.is(table.claim(running, 0).type, 'wait');
  });

  it('limits the bytes of stored results', () => {
    const table = createTicketTable({incarnation: 'run-1', maximumBytes: 100});
    const issued = Array.from({length: 5}, () => issueTicket(table));
    for (const item of issued) {
      table.claim(item, 0);
      table.store(item, makeResult(Outcome.COMPLETED, 40));
    }
    const types = issued.map(item => table.claim(item, 0).type);
    assert.equal(types, ['refuse', 'refuse', 'refuse', 'replay', 'replay']);
  });

  it('transfers its tickets to the named successor once', () => {
    const old = createTicketTable({incarnation: 'run-1', lifetimeMs: 10});
    const [done, open] = [issueTicket(old), issueTicket(old)];
    old.claim(done, 0);
    old.store(done, makeResult(Outcome.COMPLETED));
    const [handOver] = old.handOver('run-2', 5);
    assert.is(old.claim(open, 5).type, 'refuse');
    const other = createTicketTable({incarnation: 'run-3'});
    assert.not.ok(other.adopt(handOver!, 0));
    const successor = createTicketTable({incarnation: 'run-2'});
    assert.ok(successor.adopt(handOver!, 1000));
    assert.is(successor.claim(done, 1001).type, 'replay');
    assert.is(successor.claim(open, 1001).type, 'execute');
    assert.not.ok(successor.adopt(handOver!, 1002));
    assert.is(successor.claim(open, 1002).type, 'wait');
  });
});

describe('key registry', () => {
  it('grants a key to one ticket until it is released, expired or removed', () => {
    const registry = createKeyRegistry({capacity: 2, keepMs: 100});
    assert.ok(registry.claim('a', 't1', 0).isGranted);
    assert.ok(registry.claim('a', 't1', 1).isGranted);
    assert.equal(registry.claim('a', 't2', 1), {
      isGranted: false,
      holderTicketId: 't1',
    });
    registry.release('a', 't2');
    assert.not.ok(registry.claim('a', 't2', 2).isGranted);
    registry.release('a', 't1');
    assert.ok(registry.claim('a', 't2', 3).isGranted);
    assert.ok(registry.claim('a', 't3', 103).isGranted);
    registry.claim('b', 't4', 103);
    registry.claim('c', 't5', 103);
    assert.is(registry.countKeys(), 2);
  });
});

describe('ticket model', () => {
  it('has no violation within the depth of CI', () => {
    const exploration = runExploration(createTicketModel(), {depth: CI_DEPTH});
    assert.is(exploration.firstViolation, undefined);
    assert.ok(exploration.states > 1000);
  });

  it('has a violation if incarnations are not checked', () => {
    const model = createTicketModel({isIncarnationChecked: false, tickets: 1});
    const exploration = runExploration(model, {
      depth: CI_FAULT_DEPTH,
      shouldStopAtViolation: true,
    });
    assert.is(
      exploration.firstViolation,
      'a ticket was executed more than once',
    );
  });
});
