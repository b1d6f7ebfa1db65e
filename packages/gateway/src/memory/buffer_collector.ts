/**
 * Collects released buffers before they fill the memory of a small machine. V8
 * collects them by itself only after some 32 MB of young and 60 MB of old buffers,
 * since `--max-old-space-size` does not include them.
 */
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import type {Clock} from '@buckthornbeam/shared';

export interface BufferCollector {
  /** Bytes of released buffers that are not known to be collected. */
  readonly uncollectedBytes: number;
  /** Counts bytes read from a connection; their buffers are released soon. */
  countRead(bytes: number): void;
  /** Counts a buffer that was held for long, so that only a full collection frees it. */
  countReleased(bytes: number): void;
  /** Collects now, unless the last full collection was just before. */
  collect(): void;
}

/** Collects garbage; of young objects only if `type` is `minor`. */
export type CollectGarbage = (options?: {type: 'minor'}) => void;

/** Options of {@link createBufferCollector}. */
export interface BufferCollectorOptions {
  /** Released bytes after which buffers are collected. */
  maximumUncollectedBytes: number;
  clock: Pick<Clock, 'now'>;
  collectGarbage?: CollectGarbage;
}

/** Time between full collections, as a ratio to that of the last: bounds their part. */
const INTERVAL_RATIO = 4;
const MINIMUM_INTERVAL_MS = 20;
/** Time for which a closing connection may still refer to a released buffer. */
const CLOSING_MS = 20;
/** Smaller buffers are counted with those that are read, which costs no timer. */
const COUNTED_BYTES = 65_536;

function loadCollector(): CollectGarbage {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as CollectGarbage;
}

export function createBufferCollector({
  maximumUncollectedBytes,
  clock,
  collectGarbage = loadCollector(),
}: BufferCollectorOptions): BufferCollector {
  let readBytes = 0;
  /** Released so recently that a collection may not free them. */
  let closingBytes = 0;
  let releasedBytes = 0;
  let nextFullAt = -Infinity;
  let timer: NodeJS.Timeout | undefined;

  function runMinorCollection(): void {
    readBytes = 0;
    collectGarbage({type: 'minor'});
  }

  function countRead(bytes: number): void {
    readBytes += bytes;
    if (readBytes > maximumUncollectedBytes) {
      runMinorCollection();
    }
  }

  function runCollection(): void {
    const startedAt = clock.now();
    if (startedAt < nextFullAt) {
      timer ??= setTimeout(() => {
        timer = undefined;
        runCollection();
      }, nextFullAt - startedAt).unref();
      return;
    }
    readBytes = 0;
    releasedBytes = 0;
    collectGarbage();
    const endedAt = clock.now();
    nextFullAt =
      endedAt +
      Math.max(MINIMUM_INTERVAL_MS, (endedAt - startedAt) * INTERVAL_RATIO);
  }

  function markCollectable(bytes: number): void {
    closingBytes -= bytes;
    releasedBytes += bytes;
    if (releasedBytes > maximumUncollectedBytes) {
      runCollection();
    }
  }

  return {
    get uncollectedBytes() {
      return readBytes + closingBytes + releasedBytes;
    },
    countRead,
    countReleased: bytes => {
      if (bytes < COUNTED_BYTES) {
        countRead(bytes);
        return;
      }
      closingBytes += bytes;
      setTimeout(() => markCollectable(bytes), CLOSING_MS).unref();
    },
    collect: runCollection,
  };
}
