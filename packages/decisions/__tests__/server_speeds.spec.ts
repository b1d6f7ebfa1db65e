/**
 * Learned speeds of servers. With one speed assumed for all, slow servers of a mixed
 * fleet get as much work as fast ones, and their callers wait.
 */
import {createRandom} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {
  computeServerSpeeds,
  createObservedPaces,
} from '../src/server_speeds.js';
import type {AnswerPace} from '../src/server_speeds.js';

const STEP_MS = 4.63;
const STEP_MS_PER_ANSWER = 0.153;
/** The estimate assumes another engine; its error is the same for all servers. */
const ASSUMED_STEP_MS = 3;
const ASSUMED_STEP_MS_PER_ANSWER = 0.12;
const ANSWER_INTERVAL_MS = 15;
/** Standard servers of a fleet with speeds of 0.55 and 1.2. */
const SPEEDS = [0.55, 1.2, 1.2, 1.2, 0.55, 1.2, 1.2, 1.2];
const TOLERANCE = 0.15;

/** Plays answers at all servers and returns the learned speeds. */
function measureSpeeds(
  speeds: readonly number[],
  {
    running,
    answers = 200,
    startAt = 0,
    paces = createObservedPaces(),
  }: {
    /** Answers at a time at a server of the given index. */
    running: (index: number) => number;
    answers?: number;
    startAt?: number;
    paces?: ReturnType<typeof createObservedPaces>;
  },
) {
  const random = createRandom(3);
  let now = startAt;
  for (let answer = 0; answer < answers; answer++) {
    now += ANSWER_INTERVAL_MS;
    speeds.forEach((speed, index) => {
      const tokens = 20 + random.nextInt(150);
      const count = running(index);
      // A part of the steps also prefills the prompts of others.
      const delay = 1 + 0.3 * random.nextFloat();
      paces.record(
        `s${index}`,
        {
          expectedMs:
            tokens * (ASSUMED_STEP_MS + ASSUMED_STEP_MS_PER_ANSWER * count),
          observedMs:
            (tokens * (STEP_MS + STEP_MS_PER_ANSWER * count) * delay) / speed,
        },
        now,
      );
    });
  }
  const rows = new Map<string, AnswerPace>(
    paces.list(now).map(row => [row.serverId, row]),
  );
  return {speeds: computeServerSpeeds(rows), paces, now};
}

function assertSpeeds(
  actual: ReadonlyMap<string, number>,
  expected: readonly number[],
): void {
  const mean = expected.reduce((sum, speed) => sum + speed) / expected.length;
  expected.forEach((speed, index) => {
    const error = actual.get(`s${index}`)! / (speed / mean) - 1;
    assert.ok(
      Math.abs(error) <= TOLERANCE,
      `s${index}: ${actual.get(`s${index}`)} for ${speed / mean}`,
    );
  });
}

describe('learned speeds', () => {
  for (const running of [1, 16, 64]) {
    it(`are within 15 % after 200 answers with ${running} at a time`, () => {
      const {speeds} = measureSpeeds(SPEEDS, {running: () => running});
      assertSpeeds(speeds, SPEEDS);
    });
  }

  it('are within 15 % at servers with unlike load', () => {
    const {speeds} = measureSpeeds(SPEEDS, {running: index => 4 + index * 8});
    assertSpeeds(speeds, SPEEDS);
  });

  it('follow a server that turns slow, times 5, and back', () => {
    const load = {running: () => 16};
    const first = measureSpeeds(SPEEDS, load);
    const slowed = SPEEDS.map((speed, i) => (i === 1 ? speed / 5 : speed));
    const answers = 1000;
    const slow = measureSpeeds(slowed, {
      ...load,
      answers,
      paces: first.paces,
      startAt: first.now,
    });
    assertSpeeds(slow.speeds, slowed);
    const back = measureSpeeds(SPEEDS, {
      ...load,
      answers: 2000,
      paces: first.paces,
      startAt: slow.now,
    });
    assertSpeeds(back.speeds, SPEEDS);
  });

  // A new server that counted as the fastest would get all requests at once.
  it('of a server without answers is not above that of a known fast one', () => {
    const {speeds} = measureSpeeds(SPEEDS, {running: () => 8});
    const unknown = speeds.get('new') ?? 1;
    assert.ok(unknown < Math.max(...speeds.values()));
  });

  it('ends with the server', () => {
    const {paces, now} = measureSpeeds(SPEEDS, {running: () => 8});
    paces.retain(new Set(['s0']));
    assert.equal(
      paces.list(now).map(({serverId}) => serverId),
      ['s0'],
    );
  });
});
