/**
 * A stream whose server is silent for a while, and whose next server refuses it, without
 * a network. Guards against a stream that is cut although its first server goes on
 * (KNOWN-RED.txt, seed 418 of the soak).
 */
import type {Duplex} from 'node:stream';
import {waitFor} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {RouteKind} from '../src/model.js';
import {createMemoryAgent} from './support/memory_servers.js';
import type {MemoryServer} from './support/memory_servers.js';
import {createRelayFixture, encodeAnswer} from './support/relay_fixture.js';
import type {RelayFixtureOptions} from './support/relay_fixture.js';

/** Longer than the time after which a server counts as silent. */
const SILENT_MS = 2200;
const DEADLINE_MS = 6000;
const EVENTS = 3;
/** Load of the case: one stream, and one more at the silent server. */
const ROUTE = {
  kind: RouteKind.STREAM,
  maximumServers: 2,
  isResumable: true,
  timeoutMs: DEADLINE_MS,
};
const WHOLE = Array.from({length: EVENTS}, (_, index) =>
  encodeEvent(index + 1),
);

function encodeEvent(id: number): string {
  return `id: ${id}\ndata: ${id}\n\n`;
}

/** Sends the events after the last one that the caller has. */
function sendEvents(connection: Duplex, lastId: number): void {
  const body = WHOLE.slice(lastId).join('');
  connection.write(encodeAnswer('200 OK', ['id: r1', 'seal: s'], body));
}

/** Sends one event, and the others after it was silent. */
const pauseAnswer: MemoryServer = (head, connection) => {
  const lastId = Number(/last: (\d+)/.exec(head)?.[1] ?? 0);
  if (lastId > 0) {
    sendEvents(connection, lastId);
    return;
  }
  const [first, ...others] = WHOLE;
  const length = WHOLE.join('').length;
  connection.write(
    `HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\nContent-Length: ${length}\r\n\r\n${first}`,
  );
  void waitFor(SILENT_MS).then(() => connection.write(others.join('')));
};

const refuse: MemoryServer = (_, connection) =>
  connection.write(encodeAnswer('503 Refused', ['id: r1', 'not-run: 1']));

function createFixture(options: Partial<RelayFixtureOptions> = {}) {
  return createRelayFixture({
    addresses: {first: 'first:1', second: 'second:1'},
    route: ROUTE,
    deadlineMs: DEADLINE_MS,
    agent: createMemoryAgent({first: pauseAnswer, second: refuse}),
    ...options,
  });
}

describe('a stream whose server is silent and whose next server refuses', () => {
  it('goes back to the first server, with two repeats in the budget', async () => {
    const relay = createFixture({repeats: 2});
    const {isComplete, body, report} = await relay.send('r1');
    relay.close();
    assert.equal(report.servers, ['first', 'second', 'first']);
    assert.ok(isComplete, report.reasons.join());
    assert.is(body, WHOLE.join(''));
  });

  // The way back takes a second repeat, and the stream was cut if there was none at once.
  it('waits for a repeat, with one in the budget', async () => {
    const relay = createFixture({repeats: 1, repeatWindowMs: 2000});
    const {isComplete, body, report} = await relay.send('r1');
    relay.close();
    assert.equal(report.servers, ['first', 'second', 'first']);
    assert.ok(isComplete, report.reasons.join());
    assert.is(body, WHOLE.join(''));
  });

  // The server counts as silent for all its answers, and the stream waited for a quarter of its target.
  it('waits for the first server while another answer of it is silent', async () => {
    const relay = createFixture();
    const {activity} = relay;
    const startedAt = performance.now();
    activity.beginAnswer('first', startedAt);
    void waitFor(SILENT_MS).then(() =>
      activity.recordActivity('first', performance.now()),
    );
    const {isComplete, body, report} = await relay.send('r1');
    relay.close();
    assert.equal(report.servers, ['first', 'second', 'first']);
    assert.ok(isComplete, report.reasons.join());
    assert.is(body, WHOLE.join(''));
  });

  // Guards against a caller that is kept until its deadline for nothing.
  it('ends at three quarters of the time if no repeat comes', async () => {
    const relay = createFixture({repeats: 1, deadlineMs: 4000});
    const startedAt = performance.now();
    const {isComplete, error} = await relay.send('r1');
    relay.close();
    const elapsedMs = performance.now() - startedAt;
    assert.not(isComplete);
    assert.ok(error);
    assert.ok(elapsedMs > 2500 && elapsedMs < 3900, `${elapsedMs} ms`);
  });
});
