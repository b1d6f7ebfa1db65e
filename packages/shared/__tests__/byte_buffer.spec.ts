/** Bodies that arrive in pieces of any size, within a limit on their memory. */
import {PassThrough} from 'node:stream';
import {describe, it, measureHeldBytes} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createByteBuffer} from '../src/byte_buffer.js';
import {readText} from '../src/read_text.js';
import {createRandom} from '../src/random.js';

const BODY_BYTES = 500_000;
/** A buffer that grew by doubling, and what the test itself needs. */
const HELD_LIMIT_BYTES = 3 * BODY_BYTES;

describe('byte buffer', () => {
  it('returns the bytes in their order for pieces of any size', () => {
    const random = createRandom(3);
    const buffer = createByteBuffer({maximumBytes: 100_000});
    const pieces = Array.from({length: 200}, (_, index) =>
      Buffer.alloc(random.nextInt(300), index),
    );
    pieces.forEach(piece => assert.ok(buffer.append(piece)));
    assert.is(buffer.length, Buffer.concat(pieces).length);
    assert.ok(buffer.getBytes().equals(Buffer.concat(pieces)));
  });

  it('keeps what it has when a piece goes above the limit', () => {
    const buffer = createByteBuffer({maximumBytes: 5});
    assert.ok(buffer.append(Buffer.from('abcd')));
    assert.not.ok(buffer.append(Buffer.from('ef')));
    assert.ok(buffer.append(Buffer.from('e')));
    assert.is(buffer.getBytes().toString(), 'abcde');
  });

  it('does not change bytes that were taken', () => {
    const buffer = createByteBuffer({maximumBytes: 10});
    buffer.append(Buffer.from('abc'));
    const taken = buffer.takeAll();
    buffer.append(Buffer.from('xyz'));
    assert.is(taken.toString(), 'abc');
    assert.is(buffer.getBytes().toString(), 'xyz');
  });

  // Guards against a process that ends by its heap limit: each piece that is kept
  // by itself costs over a hundred bytes.
  it('holds about its limit when the pieces have one byte', () => {
    const before = measureHeldBytes();
    const buffer = createByteBuffer({maximumBytes: BODY_BYTES});
    const piece = Buffer.from('x');
    for (let count = 0; count < BODY_BYTES; count++) {
      buffer.append(piece);
    }
    const heldBytes = measureHeldBytes() - before;
    assert.is(buffer.length, BODY_BYTES);
    assert.ok(heldBytes < HELD_LIMIT_BYTES, `${heldBytes} bytes`);
  });
});

describe('the text of a body', () => {
  // Guards against answers of the store and of peers that end the process.
  it('holds about its size when it arrives byte by byte', async () => {
    const before = measureHeldBytes();
    const body = new PassThrough();
    const text = readText(body, BODY_BYTES);
    for (let count = 0; count < BODY_BYTES; count++) {
      body.write('x');
      if (body.writableNeedDrain) {
        await new Promise(resolve => setImmediate(resolve));
      }
    }
    const heldBytes = measureHeldBytes() - before;
    body.end();
    assert.is((await text).length, BODY_BYTES);
    assert.ok(heldBytes < HELD_LIMIT_BYTES, `${heldBytes} bytes`);
  });
});
