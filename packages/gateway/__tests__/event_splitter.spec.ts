/** Events of a stream, whatever the boundaries of its parts. */
import {createRandom} from '@buckthornbeam/shared';
import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createEventSplitter} from '../src/relay/event_splitter.js';

function splitParts(parts: readonly string[]) {
  const splitter = createEventSplitter();
  const events = parts.flatMap(part => splitter.push(Buffer.from(part)));
  return {events, hasRest: splitter.hasRest()};
}

describe('event splitter', () => {
  it('keeps every byte and finds the ids for any boundaries', () => {
    const random = createRandom(5);
    const stream = Array.from(
      {length: 40},
      (_, index) => `id: ${index}\nversion: 1\ndata: ${'x'.repeat(index)}\n\n`,
    ).join('');
    for (let round = 0; round < 50; round++) {
      const parts: string[] = [];
      let position = 0;
      while (position < stream.length) {
        const size = 1 + random.nextInt(60);
        parts.push(stream.slice(position, position + size));
        position += size;
      }
      const {events, hasRest} = splitParts(parts);
      assert.is(Buffer.concat(events.map(e => e.bytes)).toString(), stream);
      assert.equal(
        events.map(event => event.id),
        Array.from({length: 40}, (_, index) => String(index)),
      );
      assert.not.ok(hasRest);
    }
  });

  it('holds back an event that is not whole', () => {
    const {events, hasRest} = splitParts(['id: 1\ndata: a\n\nid: 2\nda']);
    assert.is(events.length, 1);
    assert.ok(hasRest);
  });

  it('knows lines that end with carriage returns', () => {
    const {events} = splitParts(['id: 7\r\ndata: a\r\n', '\r\nid: 8\r\n']);
    assert.is(events[0]!.id, '7');
    assert.is(events.length, 1);
  });
});
