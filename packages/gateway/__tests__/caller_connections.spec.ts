/** Which connections of callers are closed or answered, without a network. */
import {EventEmitter} from 'node:events';
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createCallerConnections} from '../src/http/caller_connections.js';
import {FakeSocket} from './support/fake_socket.js';

const MAXIMUM_CONNECTIONS = 3;

function createFixture() {
  const server = new EventEmitter();
  let refusals = 0;
  const connections = createCallerConnections(server as unknown as Server, {
    getMaximum: () => MAXIMUM_CONNECTIONS,
    onFull: () => (refusals += 1),
  });
  const sockets: FakeSocket[] = [];

  function open(name: string, bytesRead = 0): FakeSocket {
    const socket = new FakeSocket(name);
    server.emit('connection', socket);
    socket.bytesRead = bytesRead;
    sockets.push(socket);
    return socket;
  }

  /** Begins a request; the returned function ends its response. */
  function startRequest(socket: FakeSocket, complete = true): () => void {
    const request = Object.assign(new EventEmitter(), {
      socket: socket.toSocket(),
      complete,
    });
    const response = new EventEmitter();
    socket.bytesRead += 100;
    connections.recordRequest(
      request as unknown as IncomingMessage,
      response as unknown as ServerResponse,
    );
    if (complete) {
      request.emit('end');
    }
    return () => response.emit('close');
  }

  function openUsed(name: string): FakeSocket {
    const socket = open(name);
    startRequest(socket)();
    return socket;
  }

  return {
    connections,
    open,
    openUsed,
    startRequest,
    waitForAnswers: (socket: FakeSocket, run: () => void) =>
      connections.waitForAnswers(socket.toSocket(), run),
    countRefusals: () => refusals,
    listDestroyed: () =>
      sockets.filter(({destroyed}) => destroyed).map(({name}) => name),
  };
}

describe('too many connections', () => {
  // Guards against clients without a request that keep out those with one.
  it('close the oldest that has sent nothing', () => {
    const fixture = createFixture();
    fixture.openUsed('used');
    fixture.open('first');
    fixture.open('second');
    fixture.open('new');
    assert.equal(fixture.listDestroyed(), ['first']);
    assert.is(fixture.connections.count(), MAXIMUM_CONNECTIONS);
    assert.is(fixture.countRefusals(), 1);
  });

  it('close those within a request before those that were used', () => {
    const fixture = createFixture();
    fixture.openUsed('used');
    fixture.openUsed('within its second').bytesRead += 10;
    fixture.open('within its first', 10);
    const closed = ['a', 'b', 'c'].map(name => {
      const before = fixture.listDestroyed();
      fixture.startRequest(fixture.open(name));
      return fixture.listDestroyed().filter(other => !before.includes(other));
    });
    assert.equal(closed, [
      ['within its first'],
      ['within its second'],
      ['used'],
    ]);
  });

  // Guards against a response that is cut for a connection that may send nothing.
  it('close the new one if all others are in use', () => {
    const fixture = createFixture();
    const sockets = ['a', 'b', 'c'].map(name => fixture.open(name));
    sockets.forEach(socket => fixture.startRequest(socket));
    fixture.open('new');
    assert.equal(fixture.listDestroyed(), ['new']);
    assert.is(fixture.connections.count(), MAXIMUM_CONNECTIONS);
  });

  // Guards against a place that is given away twice, or never again.
  it('count each closed connection once', () => {
    const fixture = createFixture();
    const first = fixture.open('first');
    ['second', 'third', 'fourth'].forEach(name => fixture.open(name));
    first.emit('close');
    assert.is(fixture.connections.count(), MAXIMUM_CONNECTIONS);
    const fifth = fixture.open('fifth');
    fifth.emit('close');
    fifth.emit('close');
    assert.is(fixture.connections.count(), MAXIMUM_CONNECTIONS - 1);
  });

  it('are not closed below the limit, or without one', () => {
    const server = new EventEmitter();
    const connections = createCallerConnections(server as unknown as Server);
    const sockets = Array.from({length: 100}, () => new FakeSocket('a'));
    sockets.forEach(socket => server.emit('connection', socket));
    assert.is(connections.count(), 100);
    assert.not(sockets.some(({destroyed}) => destroyed));
  });
});

describe('idle connections', () => {
  // Guards against a stop that cuts a request or its response.
  it('are closed, but none with a request or a part of one', () => {
    const fixture = createFixture();
    fixture.openUsed('used');
    fixture.open('within a request', 10);
    fixture.startRequest(fixture.open('in use'));
    fixture.connections.closeIdle();
    assert.equal(fixture.listDestroyed(), ['used']);
  });
});

describe('an answer to bytes that are no request', () => {
  it('is sent at once if no complete request waits for its answer', () => {
    const fixture = createFixture();
    const socket = fixture.open('a');
    fixture.startRequest(socket, false);
    let runs = 0;
    fixture.waitForAnswers(socket, () => (runs += 1));
    assert.is(runs, 1);
  });

  // Guards against a status that is taken for that of another request.
  it('waits for the answers of all complete requests', () => {
    const fixture = createFixture();
    const socket = fixture.open('a');
    const endFirst = fixture.startRequest(socket);
    const endSecond = fixture.startRequest(socket);
    let runs = 0;
    fixture.waitForAnswers(socket, () => (runs += 1));
    endFirst();
    assert.is(runs, 0);
    endSecond();
    assert.is(runs, 1);
  });

  // Guards against a second answer, which destroys the connection under the first.
  it('is sent once if an incomplete request ends after it', () => {
    const fixture = createFixture();
    const socket = fixture.open('a');
    const endComplete = fixture.startRequest(socket);
    const endIncomplete = fixture.startRequest(socket, false);
    let runs = 0;
    fixture.waitForAnswers(socket, () => (runs += 1));
    endComplete();
    endIncomplete();
    assert.is(runs, 1);
  });

  it('is sent at once to a connection that is not followed', () => {
    const {waitForAnswers} = createFixture();
    let runs = 0;
    waitForAnswers(new FakeSocket('unknown'), () => (runs += 1));
    assert.is(runs, 1);
  });
});
