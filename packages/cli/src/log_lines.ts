/** Reads log lines from a file or from standard input. */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {RouterError, parseFields} from '@buckthornbeam/shared';

/** Fields of a log line by name. */
export type LogLine = Record<string, string>;

function openInput(path: string | undefined): NodeJS.ReadableStream {
  return path === undefined || path === '-'
    ? process.stdin
    : createReadStream(path);
}

/**
 * Calls `accept` with each line; reads standard input if the path is `-` or
 * undefined.
 *
 * @throws RouterError `usage` if the log cannot be read
 */
export async function walkLogLines(
  path: string | undefined,
  accept: (line: LogLine) => void,
): Promise<void> {
  const input = openInput(path);
  const failed = new Promise<never>((_, reject) =>
    input.once('error', error =>
      reject(
        new RouterError('usage', `the log cannot be read: ${error.message}`),
      ),
    ),
  );
  const lines = createInterface({input});
  const walk = async () => {
    for await (const line of lines) {
      accept(parseFields(line));
    }
  };
  await Promise.race([walk(), failed]);
}
