/** Splitting a stream into events for any boundaries of its chunks. */
import {createRandom} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createEventSplitter} from '../src/relay/event_splitter.js';

/** Within the time after its timeout in which a request must have an answer. */
const SPLIT_LIMIT_MS = 500;

function splitChunks(chunks: readonly string[]) {
  const splitter = createEventSplitter();
  const events = chunks.flatMap(chunk => splitter.push(Buffer.from(chunk)));
  return {events, buffered: splitter.countBuffered()};
}

describe('event splitter', () => {
  it('keeps every byte and finds all ids for any boundaries', () => {
    const random = createRandom(5);
    const stream = Array.from(
      {length: 40},
      (_, index) => `id: ${index}\nversion: 1\ndata: ${'x'.repeat(index)}\n\n`,
    ).join('');
    for (let round = 0; round < 50; round++) {
      const chunks: string[] = [];
      let position = 0;
      while (position < stream.length) {
        const size = 1 + random.nextInt(60);
        chunks.push(stream.slice(position, position + size));
        position += size;
      }
      const {events, buffered} = splitChunks(chunks);
      assert.is(Buffer.concat(events.map(e => e.bytes)).toString(), stream);
      assert.equal(
        events.map(event => event.id),
        Array.from({length: 40}, (_, index) => String(index)),
      );
      assert.is(buffered, 0);
    }
  });

  it('buffers an incomplete event', () => {
    const {events, buffered} = splitChunks(['id: 1\ndata: a\n\nid: 2\nda']);
    assert.is(events.length, 1);
    assert.is(buffered, 'id: 2\nda'.length);
  });

  it('finds an end that is split at any byte', () => {
    for (const end of ['\n\n', '\n\r\n', '\r\n\r\n']) {
      const {events, buffered} = splitChunks([...`id: 7${end}`]);
      assert.is(events.length, 1, JSON.stringify(end));
      assert.is(buffered, 0);
    }
  });

  it('accepts lines that end with CRLF', () => {
    const {events} = splitChunks(['id: 7\r\ndata: a\r\n', '\r\nid: 8\r\n']);
    assert.is(events[0]!.id, '7');
    assert.is(events.length, 1);
  });

  it('finds an end that is split at any two bytes', () => {
    const text = 'id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\r\nid: 3\n\n';
    for (let first = 0; first <= text.length; first++) {
      for (let second = first; second <= text.length; second++) {
        const {events, buffered} = splitChunks([
          text.slice(0, first),
          text.slice(first, second),
          text.slice(second),
        ]);
        assert.equal(
          events.map(event => event.id),
          ['1', '2', '3'],
          `${first}, ${second}`,
        );
        assert.is(buffered, 0);
      }
    }
  });

  it('returns no part of an event above the limit', () => {
    const splitter = createEventSplitter({maximumEventBytes: 20});
    const begin = splitter.push(Buffer.from('id: 1\n\nid: 2\ndata: '));
    assert.equal(
      begin.map(event => event.id),
      ['1'],
    );
    assert.equal(splitter.push(Buffer.from('0123456789\n\nid: 3\n\n')), []);
    assert.ok(splitter.hasOverflowed());
  });

  // Guards against a process that answers nobody for seconds: joining all buffered
  // bytes for each piece costs the square of the size of the event.
  it('splits an event of a megabyte in pieces of five bytes', () => {
    const splitter = createEventSplitter();
    const piece = Buffer.from('noise');
    const startedAt = performance.now();
    for (let count = 0; count < 199_000; count++) {
      splitter.push(piece);
    }
    const events = splitter.push(Buffer.from('\n\n'));
    const tookMs = performance.now() - startedAt;
    assert.is(events[0]?.bytes.length, 5 * 199_000 + 2);
    assert.ok(tookMs < SPLIT_LIMIT_MS, `${tookMs} ms`);
  });
});
