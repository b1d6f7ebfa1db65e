/** Selection of the instances that read the store. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {computeReadPause, isStoreReader} from '../src/state/store_readers.js';

const PAUSES = {pauseMs: 250, sharedPauseMs: 600, followerPauseMs: 10_000};

function describeFleet(count: number, self: number) {
  const instanceIds = Array.from({length: count}, (_, index) => `i${index}`);
  return {selfId: `i${self}`, instanceIds, readers: 8};
}

describe('store readers', () => {
  it('are all instances of a small fleet, with the short pause', () => {
    for (let self = 0; self < 8; self++) {
      const fleet = describeFleet(8, self);
      assert.ok(isStoreReader(fleet));
      assert.is(computeReadPause(fleet, PAUSES), 250);
    }
  });

  it('are as many as configured in a large fleet', () => {
    const pauses = Array.from({length: 88}, (_, self) =>
      computeReadPause(describeFleet(88, self), PAUSES),
    );
    assert.is(pauses.filter(pause => pause === 600).length, 8);
    assert.is(pauses.filter(pause => pause === 10_000).length, 80);
  });
});
