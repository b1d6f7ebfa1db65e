/**
 * Splits a `text/event-stream` body into complete events without changing a
 * byte. A stream that breaks within an event can then be resumed after the last
 * complete one.
 */

import {createByteBuffer} from '@buckthornbeam/shared';

/** A complete event, including the empty line at its end. */
export interface StreamEvent {
  bytes: Buffer;
  id: string | undefined;
}

export interface EventSplitter {
  /** Adds bytes of the body; returns the events that they complete. */
  push(bytes: Buffer): StreamEvent[];
  /** Bytes of the incomplete event that is buffered; 0 without one. */
  countBuffered(): number;
  /** Whether an event was larger than the limit; what follows is not split. */
  hasOverflowed(): boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*)$/m;

/** Returns the position after the first empty line; -1 if there is none yet. */
function findEventEnd(bytes: Buffer, from: number): number {
  let position = bytes.indexOf(LINE_FEED, from);
  while (position !== -1 && position + 1 < bytes.length) {
    const next = bytes[position + 1];
    if (next === LINE_FEED) {
      return position + 2;
    }
    if (next === CARRIAGE_RETURN && bytes[position + 2] === LINE_FEED) {
      return position + 3;
    }
    position = bytes.indexOf(LINE_FEED, position + 1);
  }
  return -1;
}

function createEvent(bytes: Buffer): StreamEvent {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return {bytes, id: match?.[1]?.trim()};
}

/** Options of {@link createEventSplitter}. */
export interface EventSplitterOptions {
  /** Largest incomplete event that is buffered. */
  maximumEventBytes?: number;
  /** Called with the capacity of the buffer before it grows; false overflows it. */
  reserve?: (capacityBytes: number) => boolean;
}

/** The end of an event may begin this many bytes before the next piece. */
const MAXIMUM_SPLIT_END_BYTES = 2;
/** Bytes of the next piece that may belong to such an end. */
const MAXIMUM_END_BYTES = 3;
const DEFAULT_MAXIMUM_EVENT_BYTES = 1_000_000;

export function createEventSplitter({
  maximumEventBytes = DEFAULT_MAXIMUM_EVENT_BYTES,
  reserve = () => true,
}: EventSplitterOptions = {}): EventSplitter {
  const buffered = createByteBuffer({
    maximumBytes: maximumEventBytes,
    reserve,
  });
  let hasOverflowed = false;

  /** Finds the end of the buffered event in the next piece; -1 if it has none. */
  function findBufferedEnd(piece: Buffer): number {
    const tail = buffered.getBytes().subarray(-MAXIMUM_SPLIT_END_BYTES);
    const seam = Buffer.concat([tail, piece.subarray(0, MAXIMUM_END_BYTES)]);
    const endInSeam = findEventEnd(seam, 0);
    return endInSeam === -1 ? findEventEnd(piece, 0) : endInSeam - tail.length;
  }

  function addToBuffered(bytes: Buffer): void {
    hasOverflowed ||= !buffered.append(bytes);
  }

  /** Completes the buffered event with its last bytes. */
  function takeBufferedEvent(lastBytes: Buffer): StreamEvent[] {
    addToBuffered(lastBytes);
    return hasOverflowed ? [] : [createEvent(buffered.takeAll())];
  }

  return {
    push: piece => {
      const events: StreamEvent[] = [];
      let rest = piece;
      if (buffered.length > 0) {
        const end = findBufferedEnd(piece);
        if (end === -1) {
          addToBuffered(piece);
          return events;
        }
        events.push(...takeBufferedEvent(piece.subarray(0, end)));
        rest = piece.subarray(end);
      }
      let end = findEventEnd(rest, 0);
      while (end !== -1 && !hasOverflowed) {
        events.push(createEvent(rest.subarray(0, end)));
        rest = rest.subarray(end);
        end = findEventEnd(rest, 0);
      }
      addToBuffered(rest);
      return events;
    },
    countBuffered: () => buffered.length,
    hasOverflowed: () => hasOverflowed,
  };
}
