/** Times in which the event loop stood still. */
import {createLogger, createManualClock} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createPauseDetector} from '../src/state/pause_detector.js';

function createDetector() {
  const clock = createManualClock();
  const lines: string[] = [];
  const pauses: number[] = [];
  let processorMs = 0;
  const detector = createPauseDetector({
    clock,
    logger: createLogger({write: line => lines.push(line)}),
    onPause: pausedMs => pauses.push(pausedMs),
    readProcessorMs: () => processorMs,
  });
  return {
    clock,
    detector,
    lines,
    pauses,
    use: (ms: number) => (processorMs += ms),
  };
}

describe('pause detector', () => {
  it('reports nothing while the loop runs', () => {
    const {clock, detector, pauses} = createDetector();
    for (let count = 0; count < 50; count++) {
      clock.advance(100);
      detector.checkPause();
    }
    assert.equal(pauses, []);
    assert.is(detector.computeWaitedMs(), 0);
    assert.is(detector.getLongestPauseMs(), 0);
  });

  it('bounds the time for which received data waited, until it is read', () => {
    const {clock, detector, pauses} = createDetector();
    clock.advance(5000);
    detector.checkPause();
    assert.equal(pauses, [5000]);
    assert.is(detector.computeWaitedMs(), 5000);
    clock.advance(100);
    detector.checkPause();
    assert.is(detector.computeWaitedMs(), 5100);
    clock.advance(100);
    detector.checkPause();
    assert.is(detector.computeWaitedMs(), 0);
  });

  it('counts from the first of two pauses in short succession', () => {
    const {clock, detector} = createDetector();
    clock.advance(5000);
    detector.checkPause();
    clock.advance(50);
    detector.checkPause();
    clock.advance(2000);
    detector.checkPause();
    assert.is(detector.computeWaitedMs(), 7050);
  });

  // Guards against an overloaded process that takes all that it hears for old.
  it('counts one pause before at most', () => {
    const {clock, detector} = createDetector();
    for (let count = 0; count < 20; count++) {
      clock.advance(400);
      detector.checkPause();
    }
    assert.is(detector.computeWaitedMs(), 800);
  });

  it('logs the processor time of a pause, which tells a long turn from a stop', () => {
    const {clock, detector, lines, use} = createDetector();
    use(980);
    clock.advance(1000);
    detector.checkPause();
    assert.is(lines.length, 1);
    assert.match(lines[0]!, /event_loop_paused/);
    assert.match(lines[0]!, /pausedMs=1000/);
    assert.match(lines[0]!, /processorMs=980/);
  });

  it('forgets the longest pause after two minutes', () => {
    const {clock, detector} = createDetector();
    clock.advance(1000);
    detector.checkPause();
    assert.is(detector.getLongestPauseMs(), 1000);
    for (let count = 0; count < 1300; count++) {
      clock.advance(100);
      detector.checkPause();
    }
    assert.is(detector.getLongestPauseMs(), 0);
  });
});
