/** Pauses in random histories of an instance, its servers and their network. */
import {describe, it} from '@buckthornbeam/testing';
import fc from 'fast-check';
import * as assert from 'uvu/assert';
import {StepType, runHistory} from './support/pause_history.js';
import type {Step} from './support/pause_history.js';

const HISTORIES = 3000;
const ALL_TYPES = Object.values(StepType);

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
  type: fc.oneof(
    {weight: 8, arbitrary: fc.constant(StepType.SEND)},
    {weight: 3, arbitrary: fc.constant(StepType.WAIT)},
    {weight: 3, arbitrary: fc.constant(StepType.ASK)},
    {weight: 5, arbitrary: fc.constantFrom(...ALL_TYPES)},
  ),
  server: fc.nat({max: 2}),
  ms: fc.oneof(
    {weight: 4, arbitrary: fc.nat({max: 300})},
    {weight: 4, arbitrary: fc.nat({max: 4000})},
    {weight: 1, arbitrary: fc.nat({max: 900_000})},
  ),
  isOther: fc.boolean(),
});

describe('random histories of servers that ask for pauses', () => {
  // Guards against requests in a pause, bursts after it, and servers that stay unused.
  it('have two requests in a pause at most, and avoid no server after it', () => {
    const totals = {histories: 0, pauses: 0, refused: 0, trials: 0};
    fc.assert(
      fc.property(
        fc.array(stepArbitrary, {minLength: 20, maxLength: 200, size: 'max'}),
        fc.boolean(),
        (steps, hasStarts) => {
          const counts = runHistory(steps, hasStarts);
          totals.histories += 1;
          totals.pauses += counts.pauses;
          totals.refused += counts.refused;
          totals.trials += counts.trials;
        },
      ),
      {numRuns: HISTORIES},
    );
    const {histories, pauses, refused, trials} = totals;
    console.log(
      `${histories} histories, ${pauses} pauses, ${refused} refused, ${trials} trials`,
    );
    // All occur often enough for the property to mean something.
    assert.ok(Math.min(pauses, refused, trials) > HISTORIES, `${pauses}`);
  });
});
