/** Speeds of servers that instances learn from the answers of all of them. */
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createSpeedTracker} from '../src/state/speed_tracker.js';
import type {SpeedTracker} from '../src/state/speed_tracker.js';

const SERVERS = ['slow', 'fast', 'other'];
const EVENT_MS = 30;
/** Time between two events at each server. */
const OBSERVED_MS: Readonly<Record<string, number>> = {
  slow: 60,
  fast: 30,
  other: 30,
};

function createTracker(): SpeedTracker {
  return createSpeedTracker({listServices: () => [SERVERS]});
}

function runAnswer(tracker: SpeedTracker, server: string, from: number): void {
  const answer = tracker.beginAnswer(server, EVENT_MS);
  for (let event = 0; event <= 20; event++) {
    answer.recordEvents(1, from + event * OBSERVED_MS[server]!);
  }
  answer.end(from + 21 * OBSERVED_MS[server]!);
}

describe('the speeds of servers', () => {
  // One instance of a large fleet sees a server about once a minute.
  it('reach an instance that has had no answer itself', () => {
    const observer = createTracker();
    SERVERS.forEach(server => runAnswer(observer, server, 0));
    const other = createTracker();
    other.exchange.receiveTotals(observer.exchange.buildTotals(1300), 1300);
    other.update(1300);
    assert.ok(other.getSpeed('slow') < 0.75);
    assert.ok(other.getSpeed('fast') > 1);
    assert.is(other.getSpeed('unknown'), 1);
  });

  it('are sent once a second', () => {
    const tracker = createTracker();
    runAnswer(tracker, 'fast', 0);
    assert.is(tracker.exchange.buildReport(700).length, 1);
    assert.is(tracker.exchange.buildReport(950).length, 0);
    assert.is(tracker.exchange.buildReport(1700).length, 1);
  });

  it('are kept when a message has none, and expire later', () => {
    const tracker = createTracker();
    tracker.exchange.receiveTotals([], 0);
    const observer = createTracker();
    SERVERS.forEach(server => runAnswer(observer, server, 0));
    tracker.exchange.receiveTotals(observer.exchange.buildTotals(1300), 1300);
    tracker.exchange.receiveTotals([], 1550);
    tracker.update(1600);
    assert.ok(tracker.getSpeed('slow') < 0.75);
    tracker.update(7000);
    assert.is(tracker.getSpeed('slow'), 1);
  });

  it('are not learned from answers of a few events', () => {
    const tracker = createTracker();
    const answer = tracker.beginAnswer('slow', EVENT_MS);
    answer.recordEvents(1, 0);
    answer.recordEvents(2, 500);
    answer.end(500);
    assert.is(tracker.exchange.buildReport(500).length, 0);
  });
});
