/** Tests of single cells of the fault matrix (fault and step), by invariant. */
import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {Invariant, listCells, runCell} from '../src/faults/index.js';
import type {CellRun} from '../src/faults/index.js';

/** Invariants that every run of a cell yields evidence for. */
const commonInvariants: readonly Invariant[] = [
  Invariant.TIER_ORDER,
  Invariant.NO_STARVATION,
  Invariant.COLD_SERVER,
  Invariant.WHOLE_ANSWER,
  Invariant.TRUE_REFUSAL,
  Invariant.AT_MOST_ONCE,
  Invariant.CONFIG_IN_FORCE,
];

/** Defines the tests of one cell, which share a single run of the cell. */
export function describeCell(
  faultName: string,
  stepName: string,
  cellInvariants: readonly Invariant[] = [],
): void {
  const cell = listCells().find(
    ({faults, step}) => faults[0]!.name === faultName && step.name === stepName,
  )!;
  let runPromise: Promise<CellRun> | undefined;

  describe(`${faultName} at ${stepName}`, () => {
    it('reaches the step', async () => {
      runPromise ??= runCell(cell);
      assert.ok((await runPromise).isReached);
    });
    for (const invariant of [...commonInvariants, ...cellInvariants]) {
      it(invariant, async () => {
        runPromise ??= runCell(cell);
        const run = await runPromise;
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
