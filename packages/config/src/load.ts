/** Reads file sets and settings from disk. */
import {existsSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {ConfigError, createFileSet, fileNames} from './bundle.js';
import type {FileSet} from './file_set.js';
import {checkAgainstSchema} from './schema_check.js';
import type {CheckError} from './schema_check.js';
import {createSettings} from './settings.js';
import type {Settings} from './settings.js';

function parseFile(
  path: string,
  name: string,
  errors: CheckError[],
): unknown | undefined {
  try {
    return JSON.parse(readFileSync(path, 'utf8'));
  } catch (error) {
    errors.push({
      file: name,
      path: '/',
      expected: `valid JSON (${(error as Error).message})`,
      advice: 'Correct the file.',
    });
    return undefined;
  }
}

/** Loads and checks the file set in a directory; throws a {@link ConfigError}. */
export function loadFileSet(directory: string): FileSet {
  const errors: CheckError[] = [];
  const files: Record<string, unknown> = {};
  for (const name of fileNames) {
    const path = join(directory, name);
    if (existsSync(path)) {
      files[name] = parseFile(path, name, errors);
    }
  }
  if (errors.length > 0) {
    throw new ConfigError('invalid_file_set', errors);
  }
  return createFileSet(files);
}

/** Loads and checks the settings of a process; throws a {@link ConfigError}. */
export function loadSettings(path: string): Settings {
  const errors: CheckError[] = [];
  const value = parseFile(path, path, errors);
  if (errors.length === 0) {
    errors.push(...checkAgainstSchema('settings', path, value));
  }
  if (errors.length > 0) {
    throw new ConfigError('invalid_settings', errors);
  }
  return createSettings(value as Parameters<typeof createSettings>[0]);
}
