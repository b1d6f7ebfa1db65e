/** Tests of single cells of the matrix: one test for each invariant. */
import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {Invariant, listCells, runCell} from '../src/faults/index.js';
import type {CellRun} from '../src/faults/index.js';

/** Invariants that every run has evidence for. */
const common: readonly Invariant[] = [
  Invariant.TIER_ORDER,
  Invariant.NO_STARVATION,
  Invariant.COLD_SERVER,
  Invariant.WHOLE_ANSWER,
  Invariant.TRUE_REFUSAL,
  Invariant.AT_MOST_ONCE,
  Invariant.CONFIG_IN_FORCE,
];

/** Defines the tests of one cell; it runs once, before the first of them. */
export function describeCell(
  faultName: string,
  stepName: string,
  special: readonly Invariant[] = [],
): void {
  const cell = listCells().find(
    ({faults, step}) => faults[0]!.name === faultName && step.name === stepName,
  )!;
  let pending: Promise<CellRun> | undefined;

  describe(`${faultName} at ${stepName}`, () => {
    it('reaches the step', async () => {
      pending ??= runCell(cell);
      assert.ok((await pending).isReached);
    });
    for (const invariant of [...common, ...special]) {
      it(invariant, async () => {
        pending ??= runCell(cell);
        const run = await pending;
        const verdict = run.verdicts.find(
          item => item.invariant === invariant,
        )!;
        assert.equal(
          {result: verdict.result, details: verdict.details},
          {result: 'passed', details: []},
        );
      });
    }
  });
}
