/** Log lines of a file or of standard input, as fields. */
import {createReadStream} from 'node:fs';
import {createInterface} from 'node:readline';
import {RouterError, parseFields} from '@buckthornbeam/shared';

/** Fields of one line by name. */
export type LogLine = Record<string, string>;

function openInput(path: string | undefined): NodeJS.ReadableStream {
  return path === undefined || path === '-'
    ? process.stdin
    : createReadStream(path);
}

/**
 * Reads a log line by line; standard input where the path is `-` or left out.
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
