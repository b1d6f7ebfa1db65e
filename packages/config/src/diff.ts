/** Compares two file sets value by value. */
import type {FileSet} from './file_set.js';

/** A value that differs; undefined on the side where it is missing. */
export interface FileSetChange {
  file: string;
  /** JSON pointer, with the id or name of a list item in place of its index. */
  path: string;
  before: unknown;
  after: unknown;
}

function getItemKey(item: unknown, index: number): string {
  const identified = item as {id?: string; name?: string} | null;
  return identified?.id ?? identified?.name ?? String(index);
}

function toFields(value: unknown): Map<string, unknown> | undefined {
  if (Array.isArray(value)) {
    return new Map(value.map((item, index) => [getItemKey(item, index), item]));
  }
  return value !== null && typeof value === 'object'
    ? new Map(Object.entries(value))
    : undefined;
}

function diffValues(
  file: string,
  path: string,
  before: unknown,
  after: unknown,
): FileSetChange[] {
  const fieldsBefore = toFields(before);
  const fieldsAfter = toFields(after);
  if (!fieldsBefore || !fieldsAfter) {
    return before === after ? [] : [{file, path: path || '/', before, after}];
  }
  const keys = new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()]);
  return [...keys].flatMap(key =>
    diffValues(
      file,
      `${path}/${key}`,
      fieldsBefore.get(key),
      fieldsAfter.get(key),
    ),
  );
}

/** Lists the values that differ between two file sets, in order of files. */
export function diffFileSets(before: FileSet, after: FileSet): FileSetChange[] {
  return Object.entries(after.files).flatMap(([file, value]) =>
    diffValues(
      file,
      '',
      before.files[file as keyof typeof before.files],
      value,
    ),
  );
}
