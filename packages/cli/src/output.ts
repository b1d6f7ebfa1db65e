/** Output of commands: tables for people, JSON for programs. */
import type {CheckError} from '@buckthornbeam/config';

/** Writes one line. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes a line on standard error, beside the output of the command. */
export function printNote(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Writes a value as JSON for programs. */
export function printJson(value: unknown): void {
  printLine(JSON.stringify(value, null, 2));
}

/** Lays rows out in columns; the last column is not padded. */
export function formatTable(rows: readonly string[][]): string {
  const widths: number[] = [];
  for (const row of rows) {
    row.forEach((cell, index) => {
      widths[index] = Math.max(widths[index] ?? 0, cell.length);
    });
  }
  return rows
    .map(row =>
      row
        .map((cell, index) => cell.padEnd(widths[index]!))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Writes the errors or warnings of a check, one a line. */
export function printCheckErrors(
  errors: readonly CheckError[],
  print: (line: string) => void = printLine,
  label = 'error',
): void {
  for (const {file, path, expected, advice} of errors) {
    print(`${label}: ${file} ${path}: expected ${expected}. ${advice}`);
  }
}
