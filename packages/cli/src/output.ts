/** Prints the output of commands as tables or JSON. */
import type {CheckError} from '@buckthornbeam/config';

/** Writes a line to standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes a line to standard error, separate from the command's output. */
export function printNote(line: string): void {
  process.stderr.write(`${line}\n`);
}

export function printJson(value: unknown): void {
  printLine(JSON.stringify(value, null, 2));
}

/** Aligns rows in columns; trailing spaces are removed. */
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

/** Prints check errors or warnings, one per line. */
export function printCheckErrors(
  errors: readonly CheckError[],
  print: (line: string) => void = printLine,
  label = 'error',
): void {
  for (const {file, path, expected, advice} of errors) {
    print(`${label}: ${file} ${path}: expected ${expected}. ${advice}`);
  }
}
