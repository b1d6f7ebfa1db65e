/**
 * A bounded buffer for a body that arrives in pieces. The pieces are copied into
 * one block of memory: a piece that is kept by itself costs over a hundred bytes
 * of heap, however few bytes it has.
 */

export interface ByteBuffer {
  /** Number of bytes in the buffer. */
  readonly length: number;
  /** Adds a copy of `bytes`; false, without any change, above a limit. */
  append(bytes: Uint8Array): boolean;
  /** Returns the bytes without a copy; valid until the next call of a method. */
  getBytes(): Buffer;
  /** Removes all bytes and returns them; the buffer does not change them again. */
  takeAll(): Buffer;
}

/** Options of {@link createByteBuffer}. */
export interface ByteBufferOptions {
  maximumBytes: number;
  /** Length that was announced: the first block has it, so that it need not grow. */
  expectedBytes?: number;
  /** Called with the capacity before it grows; false leaves the buffer as it is. */
  reserve?: (capacityBytes: number) => boolean;
  /**
   * Whether large blocks have pages of their own, for bodies that many connections
   * hold; false by default. Views of such a block take 2 us to make.
   */
  hasOwnPages?: boolean;
}

const INITIAL_CAPACITY_BYTES = 1024;
const GROWTH_FACTOR = 2;

/** From here on a block has pages of its own. */
const PAGED_BLOCK_BYTES = 131_072;

/** Constructor of a resizable buffer, which the type declarations lack. */
type ResizableConstructor = new (
  bytes: number,
  options: {maxByteLength: number},
) => ArrayBuffer;

/**
 * Allocates a block. The pages of a resizable buffer are returned to the system when
 * it is collected; large blocks from the heap of the C library leave gaps in it, which
 * cost up to 50 MB under many bodies of 4 MB.
 */
function createBlock(bytes: number, hasOwnPages: boolean): Buffer {
  if (!hasOwnPages || bytes < PAGED_BLOCK_BYTES) {
    return Buffer.allocUnsafeSlow(bytes);
  }
  const pages = new (ArrayBuffer as unknown as ResizableConstructor)(bytes, {
    maxByteLength: bytes,
  });
  return Buffer.from(pages, 0, bytes);
}

export function createByteBuffer({
  maximumBytes,
  expectedBytes = 0,
  reserve = () => true,
  hasOwnPages = false,
}: ByteBufferOptions): ByteBuffer {
  let block: Buffer = Buffer.alloc(0);
  let length = 0;

  /** False if the capacity cannot be had. */
  function addCapacity(neededBytes: number): boolean {
    if (neededBytes <= block.length) {
      return true;
    }
    const capacity = Math.max(
      neededBytes,
      Math.min(
        maximumBytes,
        Math.max(
          INITIAL_CAPACITY_BYTES,
          expectedBytes,
          block.length * GROWTH_FACTOR,
        ),
      ),
    );
    if (!reserve(capacity)) {
      return false;
    }
    const grown = createBlock(capacity, hasOwnPages);
    block.copy(grown, 0, 0, length);
    block = grown;
    return true;
  }

  return {
    get length() {
      return length;
    },
    append: bytes => {
      const nextLength = length + bytes.length;
      if (nextLength > maximumBytes || !addCapacity(nextLength)) {
        return false;
      }
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
