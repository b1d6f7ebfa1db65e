/** Loads file sets, settings and load mixes from disk. */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import {ConfigError, checkFiles, createFileSet} from './create_file_set.js';
import type {ClassTargets, FileSet} from './file_set.js';
import {checkAgainstSchema} from './schema_check.js';
import type {CheckError} from './schema_check.js';
import {createSettings} from './settings.js';
import type {Settings, SettingsFile} from './settings.js';
import {checkSettings} from './settings_checks.js';

/** Describes a syntax error, with line and column if the parser reports a position. */
function describeSyntaxError(text: string, message: string): string {
  const position = /at position (\d+)/.exec(message)?.[1];
  if (position === undefined) {
    return `valid JSON (${message})`;
  }
  const lines = text.slice(0, Number(position)).split('\n');
  const column = lines.at(-1)!.length + 1;
  return `valid JSON at line ${lines.length}, column ${column} (${message})`;
}

/** Reads a file; adds an error and returns an empty text if that fails. */
function readText(path: string, name: string, errors: CheckError[]): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    errors.push({
      file: name,
      path: '/',
      expected: `a readable file (${(error as Error).message})`,
      advice: 'Correct the path or the permissions.',
    });
    return '';
  }
}

/** Parses a JSON file; adds an error and returns undefined if that fails. */
function parseFile(path: string, name: string, errors: CheckError[]): unknown {
  const errorCount = errors.length;
  const text = readText(path, name, errors);
  if (errors.length > errorCount) {
    return undefined;
  }
  try {
    return JSON.parse(text);
  } catch (error) {
    errors.push({
      file: name,
      path: '/',
      expected: describeSyntaxError(text, (error as Error).message),
      advice: 'Correct the syntax of the file.',
    });
    return undefined;
  }
}

/** Hidden files and Markdown files in the directory are not part of the set. */
const IGNORED_FILE_PATTERN = /^\.|\.md$/;

function listFiles(directory: string): string[] {
  try {
    return readdirSync(directory).filter(
      name => !IGNORED_FILE_PATTERN.test(name),
    );
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
    // Files without valid JSON would also fail their schema.
    const unparsedFiles = new Set(errors.map(error => error.file));
    const otherErrors = checkFiles(files).filter(
      error => !unparsedFiles.has(error.file),
    );
    throw new ConfigError('invalid_file_set', [...errors, ...otherErrors]);
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

/** Requests of one class that `buckthornbeam load` generates. */
export interface LoadClass {
  class: string;
  model: string;
  apiKey: string;
  requestsPerSecond: number;
  promptCharacters: number;
  maximumTokens: number;
  targets: ClassTargets;
}

/** Loads and checks the mix of a generated load; throws a {@link ConfigError}. */
export function loadMix(path: string): LoadClass[] {
  const errors: CheckError[] = [];
  const value = parseFile(path, path, errors);
  if (errors.length === 0) {
    errors.push(...checkAgainstSchema('load-mix', path, value));
  }
  if (errors.length > 0) {
    throw new ConfigError('invalid_settings', errors);
  }
  return (value as {classes: LoadClass[]}).classes;
}
