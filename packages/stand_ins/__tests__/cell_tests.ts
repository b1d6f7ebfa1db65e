/** Defines tests for single cells of the fault matrix, one for each invariant. */
import * as assert from 'uvu/assert';
import {describe, it} from '@buckthornbeam/testing';
import {Invariant, listCells, runCell} from '../src/faults/index.js';
import type {CellRun} from '../src/faults/index.js';

/** Invariants for which every run has evidence, that is, records to check. */
const commonInvariants: readonly Invariant[] = [
  Invariant.TIER_ORDER,
  Invariant.NO_STARVATION,
  Invariant.COLD_SERVER,
  Invariant.WHOLE_ANSWER,
  Invariant.TRUE_REFUSAL,
  Invariant.AT_MOST_ONCE,
  Invariant.CONFIG_IN_FORCE,
];

/**
 * Defines the tests of one cell, which runs once for all of them. The common
 * invariants and the additional ones must pass with evidence.
 */
export function describeCell(
  faultName: string,
  stepName: string,
  additionalInvariants: readonly Invariant[] = [],
): void {
  const cell = listCells().find(
    ({faults, step}) => faults[0]!.name === faultName && step.name === stepName,
  )!;
  let cellRun: Promise<CellRun> | undefined;

  describe(`${faultName} at ${stepName}`, () => {
    it('reaches the step', async () => {
      cellRun ??= runCell(cell);
      assert.ok((await cellRun).isReached);
    });
    for (const invariant of [...commonInvariants, ...additionalInvariants]) {
      it(invariant, async () => {
        cellRun ??= runCell(cell);
        const run = await cellRun;
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
