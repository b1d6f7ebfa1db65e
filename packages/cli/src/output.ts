/** Output of commands on standard output. */
import type {CheckError} from '@buckthornbeam/config';

/** Writes one line. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes a value as JSON for programs. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value, null, 2));
}

/** Writes the errors of a check, one a line. */
export function printCheckErrors(errors: readonly CheckError[]): void {
  for (const {file, path, expected, advice} of errors) {
    printLine(`${file} ${path}: expected ${expected}. ${advice}`);
  }
}
