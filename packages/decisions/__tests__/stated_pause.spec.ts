/** Servers that ask to be sent nothing for a time, without a network. */
import {describe, it} from '@buckthornbeam/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {StatementKind, createServerStatements} from '../src/index.js';
import type {ServerLife} from '../src/index.js';

const LIFE: ServerLife = {id: 's1', address: 'a:1', startedAt: 1};
const CONTEXT = {instances: ['self']};
const SHARERS = {...CONTEXT, selfId: 'self'};
const SILENT = {isLeaving: false};
const LONGEST_MS = 600_000;
const TRIAL_MS = 3000;
const RETURN_MS = 500;

function answerAt(headAt: number, sentAt = headAt) {
  return {requestId: `r${headAt}`, sentAt, headAt};
}

function buildPause(pauseMs: number) {
  return {isLeaving: false, pauseMs};
}

/** The statements after an answer at time 10 that asks for 1000 ms. */
function createPaused(pauseMs = 1000) {
  const statements = createServerStatements();
  const changes = statements.record(LIFE, buildPause(pauseMs), answerAt(10));
  return {statements, changes};
}

describe('a pause among the statements', () => {
  // Guards against requests in the time that the server asked for, and against a burst at its end.
  it('allows nothing until its end, and then one trial', () => {
    const {statements} = createPaused();
    assert.is(statements.computeWait(LIFE, CONTEXT, 310), 700);
    assert.not(statements.take(LIFE, CONTEXT, 1009));
    assert.ok(statements.take(LIFE, CONTEXT, 1010));
    assert.not(statements.take(LIFE, CONTEXT, 1011));
    assert.not(statements.isExcluded(LIFE), 'its place in the pool remains');
  });

  // Guards against a server that stays unused since its trial got no answer.
  it('allows another trial if one has no answer', () => {
    const {statements} = createPaused();
    assert.ok(statements.take(LIFE, CONTEXT, 1010));
    assert.not(statements.take(LIFE, CONTEXT, 1009 + TRIAL_MS));
    assert.ok(statements.take(LIFE, CONTEXT, 1010 + TRIAL_MS));
    assert.not(statements.take(LIFE, CONTEXT, 1011 + TRIAL_MS));
  });

  // Guards against the answer to an earlier request that passes for that of the trial.
  it('ignores answers to requests from before its end', () => {
    const {statements} = createPaused();
    statements.record(LIFE, SILENT, answerAt(500, 5));
    statements.record(LIFE, SILENT, answerAt(1200, 1009));
    assert.ok(statements.take(LIFE, CONTEXT, 1201));
    assert.not(statements.take(LIFE, CONTEXT, 1202));
  });

  it('allows two requests after each answer, and all when these went on', () => {
    const {statements} = createPaused();
    assert.ok(statements.take(LIFE, CONTEXT, 1010));
    statements.record(LIFE, SILENT, answerAt(1100, 1010));
    assert.ok(statements.take(LIFE, CONTEXT, 1101));
    assert.ok(statements.take(LIFE, CONTEXT, 1101));
    assert.not(statements.take(LIFE, CONTEXT, 1101));
    statements.advance(SHARERS, 1100 + RETURN_MS);
    for (let sent = 0; sent < 10; sent++) {
      assert.ok(statements.take(LIFE, CONTEXT, 1100 + RETURN_MS));
    }
  });

  it('begins again if the trial is answered with one', () => {
    const {statements} = createPaused();
    assert.ok(statements.take(LIFE, CONTEXT, 1010));
    statements.record(LIFE, buildPause(400), answerAt(1020, 1010));
    assert.not(statements.take(LIFE, CONTEXT, 1419));
    assert.ok(statements.take(LIFE, CONTEXT, 1420));
  });

  // Guards against answers that overtake each other: each has its own end.
  it('ends with the last of several', () => {
    const {statements} = createPaused();
    statements.record(LIFE, buildPause(100), answerAt(20, 1));
    assert.not(statements.take(LIFE, CONTEXT, 1009));
    statements.record(LIFE, buildPause(2000), answerAt(30, 1));
    assert.not(statements.take(LIFE, CONTEXT, 2029));
    assert.ok(statements.take(LIFE, CONTEXT, 2030));
  });

  // Guards against a server that is lost for its life by a faulty value.
  for (const pauseMs of [1e12, Infinity]) {
    it(`of ${pauseMs} ms allows a trial after ten minutes`, () => {
      const {statements} = createPaused(pauseMs);
      assert.not(statements.take(LIFE, CONTEXT, 9 + LONGEST_MS));
      assert.ok(statements.take(LIFE, CONTEXT, 10 + LONGEST_MS));
    });
  }

  it('of no duration is none', () => {
    const {statements, changes} = createPaused(0);
    assert.equal(changes, []);
    assert.ok(statements.take(LIFE, CONTEXT, 10));
  });

  it('does not bind a successor', () => {
    const {statements} = createPaused();
    assert.ok(statements.take({...LIFE, startedAt: 2}, CONTEXT, 11));
  });

  // Guards against a pause whose beginning or end no log line and no counter shows.
  it('is reported with its seconds, its request and its end', () => {
    const {statements, changes} = createPaused(1500);
    assert.is(statements.count(StatementKind.PAUSE), 1);
    assert.equal(statements.advance(SHARERS, 1509), []);
    const ended = statements.advance(SHARERS, 1520);
    assert.equal(
      [...changes, ...ended].map(({kind, type, value, requestId, reason}) => ({
        kind,
        type,
        value,
        requestId,
        reason,
      })),
      [
        {
          kind: 'pause',
          type: 'begun',
          value: 1.5,
          requestId: 'r10',
          reason: undefined,
        },
        {
          kind: 'pause',
          type: 'ended',
          value: 1.5,
          requestId: undefined,
          reason: 'expired',
        },
      ],
    );
    assert.is(statements.count(StatementKind.PAUSE), 0);
    assert.equal(statements.advance(SHARERS, 1530), []);
  });
});

const StepType = {
  SEND: 'send',
  ANSWER: 'answer',
  REFUSE: 'refuse',
  MAINTAIN: 'maintain',
  WAIT: 'wait',
} as const;
type StepType = (typeof StepType)[keyof typeof StepType];

interface Step {
  type: StepType;
  position: number;
  /** Time that passes, or that a server asks for, in milliseconds. */
  ms: number;
}

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  type: fc.oneof(
    {weight: 6, arbitrary: fc.constant(StepType.SEND)},
    {weight: 3, arbitrary: fc.constantFrom(...Object.values(StepType))},
  ),
  position: fc.nat({max: 20}),
  ms: fc.oneof(fc.nat({max: 100}), fc.nat({max: 4000})),
});

/**
 * Runs a history of one server in which answers overtake each other. Returns how many
 * sends were refused in a pause, and how many trials were sent.
 */
function runHistory(steps: readonly Step[]) {
  const statements = createServerStatements();
  const open: number[] = [];
  const counts = {refused: 0, trials: 0};
  let now = 0;
  let pauseEndsAt = 0;
  /** When a trial of the current pause was last sent. */
  let triedAt = -Infinity;
  let hasAnsweredTrial = true;

  function sendRequest(): void {
    const isAllowed = statements.take(LIFE, CONTEXT, now);
    if (now < pauseEndsAt) {
      assert.not(isAllowed, 'sent in a pause');
      counts.refused += 1;
    } else if (!hasAnsweredTrial) {
      const isDue = now - triedAt >= TRIAL_MS;
      assert.is(isAllowed, isDue, 'one trial at a time, and not none');
      counts.trials += isAllowed ? 1 : 0;
      triedAt = isAllowed ? now : triedAt;
    }
    if (isAllowed) {
      open.push(now);
    }
  }

  function answerOpen(position: number, pauseMs?: number): void {
    const [sentAt] = open.splice(position % open.length, 1);
    if (sentAt === undefined) {
      return;
    }
    if (pauseMs && now + pauseMs > pauseEndsAt) {
      pauseEndsAt = now + pauseMs;
      triedAt = -Infinity;
      hasAnsweredTrial = false;
    } else if (!pauseMs && sentAt >= pauseEndsAt) {
      hasAnsweredTrial = true;
    }
    const answer = {requestId: 'r', sentAt, headAt: now};
    statements.record(LIFE, pauseMs ? buildPause(pauseMs) : SILENT, answer);
  }

  const stepHandlers: Record<StepType, (step: Step) => void> = {
    send: sendRequest,
    answer: ({position}) => answerOpen(position),
    refuse: ({position, ms}) => answerOpen(position, ms),
    maintain: () => {
      statements.retain([LIFE], now);
      statements.advance(SHARERS, now);
    },
    wait: ({ms}) => {
      now += ms;
    },
  };
  for (const step of steps) {
    now += 1;
    stepHandlers[step.type](step);
  }
  return counts;
}

describe('random histories of a server that asks for pauses', () => {
  // Guards against sends in a pause, bursts after one, and servers that stay unused.
  it('have no send in a pause, and one trial at a time after it', () => {
    let refused = 0;
    let trials = 0;
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, {minLength: 20, maxLength: 200, size: 'max'}),
        steps => {
          const counts = runHistory(steps);
          refused += counts.refused;
          trials += counts.trials;
        },
      ),
      {numRuns: 1000},
    );
    // Both occur often enough for the property to mean something.
    assert.ok(refused > 5000, `${refused} refused`);
    assert.ok(trials > 500, `${trials} trials`);
  });
});
