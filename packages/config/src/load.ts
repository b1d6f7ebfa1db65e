/** Reads file sets and settings from disk. */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {ConfigError, checkFiles, createFileSet} from './create_file_set.js';
import type {FileSet} from './file_set.js';
import {checkAgainstSchema} from './schema_check.js';
import type {CheckError} from './schema_check.js';
import {createSettings} from './settings.js';
import type {Settings, SettingsFile} from './settings.js';
import {checkSettings} from './settings_checks.js';

/** Tells line and column of a syntax error where the parser names a position. */
function describeSyntaxError(text: string, message: string): string {
  const position = /at position (\d+)/.exec(message)?.[1];
  if (position === undefined) {
    return `valid JSON (${message})`;
  }
  const lines = text.slice(0, Number(position)).split('\n');
  const column = lines.at(-1)!.length + 1;
  return `valid JSON at line ${lines.length}, column ${column} (${message})`;
}

function readText(path: string, name: string, errors: CheckError[]): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    errors.push({
      file: name,
      path: '/',
      expected: `a file that can be read (${(error as Error).message})`,
      advice: 'Correct the path or the permissions.',
    });
    return '';
  }
}

function parseFile(path: string, name: string, errors: CheckError[]): unknown {
  const count = errors.length;
  const text = readText(path, name, errors);
  if (errors.length > count) {
    return undefined;
  }
  try {
    return JSON.parse(text);
  } catch (error) {
    errors.push({
      file: name,
      path: '/',
      expected: describeSyntaxError(text, (error as Error).message),
      advice: 'Correct the file.',
    });
    return undefined;
  }
}

/** Name endings of files that may stand beside a file set. */
const IGNORED_FILE = /^\.|\.md$/;

function listFiles(directory: string): string[] {
  try {
    return readdirSync(directory).filter(name => !IGNORED_FILE.test(name));
  } catch (error) {
    throw new ConfigError('invalid_file_set', [
      {
        file: directory,
        path: '/',
        expected: `a directory (${(error as Error).message})`,
        advice: 'Name the directory that holds the file set.',
      },
    ]);
  }
}

/** Loads and checks the file set in a directory; throws a {@link ConfigError}. */
export function loadFileSet(directory: string): FileSet {
  const errors: CheckError[] = [];
  const files: Record<string, unknown> = {};
  for (const name of listFiles(directory)) {
    files[name] = parseFile(join(directory, name), name, errors);
  }
  if (errors.length > 0) {
    const broken = new Set(errors.map(error => error.file));
    const others = checkFiles(files).filter(error => !broken.has(error.file));
    throw new ConfigError('invalid_file_set', [...errors, ...others]);
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
  if (errors.length === 0) {
    errors.push(...checkSettings(path, createSettings(value as SettingsFile)));
  }
  if (errors.length > 0) {
    throw new ConfigError('invalid_settings', errors);
  }
  return createSettings(value as SettingsFile);
}
