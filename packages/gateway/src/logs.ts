/**
 * Log lines to standard output that never block the process: lines are
 * buffered and written in the background, and dropped beyond a bound.
 */
import {write} from 'node:fs';

/** Takes finished log lines. */
export interface LineWriter {
  write(line: string): void;
  /** Writes what is buffered. */
  flush(): Promise<void>;
}

/** Options of {@link createLineWriter}. */
export interface LineWriterOptions {
  /** File descriptor; standard output by default. */
  descriptor?: number;
  /** Most characters that wait to be written. */
  maximumBuffered?: number;
  /** Pause between two writes, in milliseconds. */
  intervalMs?: number;
}

const STANDARD_OUTPUT = 1;
/** Some thousand lines. */
const DEFAULT_MAXIMUM_BUFFERED = 512 * 1024;
/** One system call for many lines; the last lines before a kill are lost. */
const DEFAULT_INTERVAL_MS = 100;

/** Creates a writer. */
export function createLineWriter(options: LineWriterOptions = {}): LineWriter {
  const {
    descriptor = STANDARD_OUTPUT,
    maximumBuffered = DEFAULT_MAXIMUM_BUFFERED,
    intervalMs = DEFAULT_INTERVAL_MS,
  } = options;
  let lines: string[] = [];
  let buffered = 0;
  let dropped = 0;
  let writing: Promise<void> | undefined;
  let timer: NodeJS.Timeout | undefined;

  function takeBytes(): Buffer {
    if (dropped > 0) {
      lines.push(`level=warn event=log_lines_dropped count=${dropped}\n`);
    }
    const bytes = Buffer.from(lines.join(''));
    lines = [];
    buffered = 0;
    dropped = 0;
    return bytes;
  }

  function writeBytes(bytes: Buffer): Promise<void> {
    return new Promise(resolve => {
      write(descriptor, bytes, (error, written) => {
        // A reader that went away must not stop the process.
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
    await writing;
    if (lines.length > 0) {
      writing = writeBytes(takeBytes()).finally(() => {
        writing = undefined;
      });
      await writing;
    }
  }

  return {
    write: line => {
      if (buffered + line.length > maximumBuffered) {
        dropped += 1;
        return;
      }
      lines.push(`${line}\n`);
      buffered += line.length + 1;
      timer ??= setTimeout(() => void flush(), intervalMs);
    },
    flush,
  };
}
