/**
 * Writes log lines without blocking the process: lines are buffered and written
 * in the background; lines that exceed the buffer are dropped and counted.
 */
import {write} from 'node:fs';

export interface LogWriter {
  /** Buffers a line, given without its line break. */
  write(line: string): void;
  /** Resolves when the buffered lines are written. */
  flush(): Promise<void>;
}

export interface LogWriterOptions {
  /** File descriptor; standard output by default. */
  descriptor?: number;
  /** Lines that would exceed this buffer size are dropped. */
  maximumBufferedCharacters?: number;
  /** Delay between the first buffered line and the write. */
  intervalMs?: number;
}

const STANDARD_OUTPUT_DESCRIPTOR = 1;
/** Holds several thousand lines. */
const DEFAULT_MAXIMUM_BUFFERED_CHARACTERS = 512 * 1024;
/** Batches many lines into one system call; a kill loses the lines of the last interval. */
const DEFAULT_INTERVAL_MS = 100;

export function createLogWriter(options: LogWriterOptions = {}): LogWriter {
  const {
    descriptor = STANDARD_OUTPUT_DESCRIPTOR,
    maximumBufferedCharacters = DEFAULT_MAXIMUM_BUFFERED_CHARACTERS,
    intervalMs = DEFAULT_INTERVAL_MS,
  } = options;
  let lines: string[] = [];
  let bufferedCharacters = 0;
  let droppedLines = 0;
  let pendingWrite: Promise<void> | undefined;
  let timer: NodeJS.Timeout | undefined;

  function takeBuffer(): Buffer {
    if (droppedLines > 0) {
      lines.push(`level=warn event=log_lines_dropped count=${droppedLines}\n`);
    }
    const bytes = Buffer.from(lines.join(''));
    lines = [];
    bufferedCharacters = 0;
    droppedLines = 0;
    return bytes;
  }

  function writeBytes(bytes: Buffer): Promise<void> {
    return new Promise(resolve => {
      write(descriptor, bytes, (error, written) => {
        // Errors are ignored: a closed pipe must not stop the process.
        if (error || written >= bytes.length) {
          resolve();
        } else {
          resolve(writeBytes(bytes.subarray(written)));
        }
      });
    });
  }

  async function flush(): Promise<void> {
    clearTimeout(timer);
    timer = undefined;
    // Another call may start a write with the lines while this one waits.
    while (pendingWrite || lines.length > 0) {
      pendingWrite ??= writeBytes(takeBuffer()).finally(() => {
        pendingWrite = undefined;
      });
      await pendingWrite;
    }
  }

  return {
    write: line => {
      if (bufferedCharacters + line.length > maximumBufferedCharacters) {
        droppedLines += 1;
        return;
      }
      lines.push(`${line}\n`);
      bufferedCharacters += line.length + 1;
      timer ??= setTimeout(() => void flush(), intervalMs);
    },
    flush,
  };
}
