/**
 * A bounded buffer for a body that arrives in pieces. The pieces are copied into
 * one block of memory: a piece that is kept by itself costs over a hundred bytes
 * of heap, however few bytes it has.
 */

export interface ByteBuffer {
  /** Number of bytes in the buffer. */
  readonly length: number;
  /** Adds a copy of `bytes`; false, without any change, above the limit. */
  append(bytes: Uint8Array): boolean;
  /** Returns the bytes without a copy; valid until the next call of a method. */
  getBytes(): Buffer;
  /** Removes all bytes and returns them; the buffer does not change them again. */
  takeAll(): Buffer;
}

/** Options of {@link createByteBuffer}. */
export interface ByteBufferOptions {
  maximumBytes: number;
}

const INITIAL_CAPACITY_BYTES = 1024;
const GROWTH_FACTOR = 2;

export function createByteBuffer({
  maximumBytes,
}: ByteBufferOptions): ByteBuffer {
  let block: Buffer = Buffer.alloc(0);
  let length = 0;

  function addCapacity(neededBytes: number): void {
    if (neededBytes <= block.length) {
      return;
    }
    const capacity = Math.max(
      neededBytes,
      Math.min(
        maximumBytes,
        Math.max(INITIAL_CAPACITY_BYTES, block.length * GROWTH_FACTOR),
      ),
    );
    const grown = Buffer.allocUnsafeSlow(capacity);
    block.copy(grown, 0, 0, length);
    block = grown;
  }

  return {
    get length() {
      return length;
    },
    append: bytes => {
      const nextLength = length + bytes.length;
      if (nextLength > maximumBytes) {
        return false;
      }
      addCapacity(nextLength);
      block.set(bytes, length);
      length = nextLength;
      return true;
    },
    getBytes: () => block.subarray(0, length),
    takeAll: () => {
      const taken = block.subarray(0, length);
      block = Buffer.alloc(0);
      length = 0;
      return taken;
    },
  };
}
