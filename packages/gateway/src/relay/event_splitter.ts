/**
 * Splits a `text/event-stream` body into whole events without changing a byte,
 * so that a stream that breaks within an event can go on after the last whole
 * one.
 */

/** A whole event. */
export interface StreamEvent {
  bytes: Buffer;
  id: string | undefined;
}

/** Takes the bytes of a body. */
export interface EventSplitter {
  /** Adds bytes; returns the events that are whole now. */
  push(bytes: Buffer): StreamEvent[];
  /** Whether bytes of an unfinished event are left. */
  hasRest(): boolean;
}

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id: ?(.*)$/m;

/** Finds the end of the first event: the position after its empty line. */
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

/** Creates a splitter at the beginning of a body. */
export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push: bytes => {
      rest = rest.length === 0 ? bytes : Buffer.concat([rest, bytes]);
      const events: StreamEvent[] = [];
      let end = findEventEnd(rest, 0);
      while (end !== -1) {
        events.push(createEvent(rest.subarray(0, end)));
        rest = rest.subarray(end);
        end = findEventEnd(rest, 0);
      }
      return events;
    },
    hasRest: () => rest.length > 0,
  };
}
