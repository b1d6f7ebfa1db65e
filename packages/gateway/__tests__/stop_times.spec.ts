/** Times of a planned stop, for all grace times and numbers of open requests. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {computeStopTimes} from '../src/stop/stop_times.js';

const SIGNALLED_AT = 1000;
const GRACE_TIMES_MS = [0, 100, 500, 1000, 3000, 8000, 60_000];
const OPEN_REQUESTS = [0, 1, 10, 60, 150, 2000];

describe('the times of a stop', () => {
  for (const graceMs of GRACE_TIMES_MS) {
    // Guards against steps in the wrong order, and against an end after the kill.
    it(`follow each other before the kill after ${graceMs} ms`, () => {
      for (const openRequests of OPEN_REQUESTS) {
        const times = computeStopTimes({
          signalledAt: SIGNALLED_AT,
          graceMs,
          openRequests,
        });
        const steps = [
          SIGNALLED_AT,
          times.closeIdleAt,
          times.refuseAt,
          times.requestsEndAt,
          times.answersEndAt,
          times.exitAt,
          SIGNALLED_AT + graceMs,
        ];
        assert.equal(
          steps,
          [...steps].sort((a, b) => a - b),
        );
      }
    });
  }

  // Guards against a process that is killed since it ends too many requests in the
  // margin: at 0.12 of a core, 1 ms of processor time takes 8 ms.
  it('leave a margin for each open request, and at most a quarter', () => {
    const margins = OPEN_REQUESTS.map(
      openRequests =>
        8000 -
        computeStopTimes({signalledAt: 0, graceMs: 8000, openRequests})
          .requestsEndAt,
    );
    assert.equal(margins, [600, 608, 680, 1080, 1800, 2000]);
  });
});
