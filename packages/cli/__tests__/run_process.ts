/** Runs the command line in a child process. */
import {spawn} from 'node:child_process';
import {fileURLToPath} from 'node:url';

/** Exit code and output of a finished process. */
export interface ProcessResult {
  code: number | null;
  output: string;
  errors: string;
}

const main = fileURLToPath(new URL('../src/main.js', import.meta.url));

const TIMEOUT_MS = 30_000;

/** Runs `buckthornbeam` with `input` on standard input. */
export function runProcess(
  args: readonly string[],
  input = '',
): Promise<ProcessResult> {
  return new Promise(resolve => {
    const child = spawn(process.execPath, [main, ...args], {
      timeout: TIMEOUT_MS,
    });
    let output = '';
    let errors = '';
    child.stdout.on('data', bytes => {
      output += bytes;
    });
    child.stderr.on('data', bytes => {
      errors += bytes;
    });
    child.on('close', code => resolve({code, output, errors}));
    child.stdin.on('error', () => undefined);
    child.stdin.end(input);
  });
}
