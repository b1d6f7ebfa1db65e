/** Turns of the event loop under bodies in many small pieces, without a network. */
import type {Socket} from 'node:net';
import {PassThrough} from 'node:stream';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {addPacedSockets, createReadPacer} from '../src/read_pacer.js';
import type {PacedBody} from '../src/read_pacer.js';

/** More than one body may have in a turn. */
const MANY_PIECES = 1000;
/** More than all bodies may have in a turn. */
const TURN_PIECES = 20_000;

function createSocket(): Socket {
  const stream = new PassThrough();
  stream.resume();
  return stream as unknown as Socket;
}

function createBody(): PacedBody {
  return Object.assign(new PassThrough(), {
    socket: createSocket(),
    complete: false,
  });
}

async function waitForTurns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise(resolve => setImmediate(resolve));
  }
}

describe('the pacer of bodies', () => {
  it('holds a connection until its turn', async () => {
    const body = createBody();
    createReadPacer(body).countPieces(MANY_PIECES);
    await new Promise(resolve => process.nextTick(resolve));
    assert.ok(body.socket!.isPaused());
    await waitForTurns(3);
    assert.not(body.socket!.isPaused());
  });

  // Guards against connections that are all read in the turn in which they begin.
  it('holds all connections for the rest of a turn with many pieces', async () => {
    const [idle, paused] = [createSocket(), createSocket()];
    paused!.pause();
    const remove = addPacedSockets(() => [idle!, paused!]);
    createReadPacer(createBody()).countPieces(TURN_PIECES);
    await new Promise(resolve => process.nextTick(resolve));
    assert.ok(idle!.isPaused());
    await waitForTurns(3);
    assert.not(idle!.isPaused());
    assert.ok(paused!.isPaused());
    remove();
  });

  // Guards against closed connections whose bytes wait for seconds to be read.
  it('gives up a body if four others wait, where its user allows it', async () => {
    const crowded: number[] = [];
    for (let index = 0; index < 6; index++) {
      const onCrowded = () => crowded.push(index);
      const options = index === 5 ? {} : {onCrowded};
      createReadPacer(createBody(), options).countPieces(MANY_PIECES);
    }
    await new Promise(resolve => process.nextTick(resolve));
    assert.equal(crowded, [4]);
    await waitForTurns(8);
  });
});
