/** Checks parsed files and creates file sets from them. */
import {RouterError, computeDigest} from '@buckthornbeam/shared';
import {checkAcrossFiles} from './cross_checks.js';
import type {FileName, FileSet, FileSetFiles} from './file_set.js';
import {checkAgainstSchema} from './schema_check.js';
import type {CheckError} from './schema_check.js';

/** Schema name of each file of a set. */
const fileSchemas: Record<FileName, string> = {
  'service.json': 'service',
  'classes.json': 'classes',
  'customers.json': 'customers',
  'models.json': 'models',
  'data-centres.json': 'data-centres',
  'backend-servers.json': 'backend-servers',
  'plain-services.json': 'plain-services',
};

export const fileNames = Object.keys(fileSchemas) as FileName[];

/** An invalid file set or invalid settings, with all errors that were found. */
export class ConfigError extends RouterError {
  constructor(
    code: 'invalid_file_set' | 'invalid_settings',
    readonly errors: readonly CheckError[],
  ) {
    super(
      code,
      errors
        .map(error => `${error.file}${error.path}: ${error.expected}`)
        .join('; '),
    );
  }
}

function checkFile(
  file: FileName,
  files: Record<string, unknown>,
): CheckError[] {
  if (file in files) {
    return checkAgainstSchema(fileSchemas[file], file, files[file]);
  }
  return [
    {
      file,
      path: '/',
      expected: 'the file to be present',
      advice: `Add ${file} to the file set.`,
    },
  ];
}

function checkUnknownFiles(files: Record<string, unknown>): CheckError[] {
  return Object.keys(files)
    .filter(file => !Object.hasOwn(fileSchemas, file))
    .map(file => ({
      file,
      path: '/',
      expected: `one of ${fileNames.join(', ')}`,
      advice: 'Remove the file, or correct its name.',
    }));
}

/**
 * Checks parsed files by name; an empty list means that they form a valid set.
 * The rules across files are only checked if every file matches its schema.
 */
export function checkFiles(files: Record<string, unknown>): CheckError[] {
  const errors = [
    ...checkUnknownFiles(files),
    ...fileNames.flatMap(file => checkFile(file, files)),
  ];
  return errors.length > 0
    ? errors
    : checkAcrossFiles(files as unknown as FileSetFiles);
}

function indexBy<T>(items: readonly T[], getKey: (item: T) => string) {
  return new Map(items.map(item => [getKey(item), item]));
}

/** Creates a file set from parsed files by name; throws a {@link ConfigError}. */
export function createFileSet(parsed: Record<string, unknown>): FileSet {
  const errors = checkFiles(parsed);
  if (errors.length > 0) {
    throw new ConfigError('invalid_file_set', errors);
  }
  const files = parsed as unknown as FileSetFiles;
  const {customers} = files['customers.json'];
  return {
    version: {
      revision: files['service.json'].revision,
      digest: computeDigest(encodeCanonical(files)),
    },
    files,
    classes: indexBy(files['classes.json'].classes, item => item.name),
    customers: indexBy(customers, item => item.id),
    customersByKeyDigest: indexBy(customers, item => item.apiKeyDigest),
    models: indexBy(files['models.json'].models, item => item.name),
    dataCentres: indexBy(
      files['data-centres.json'].dataCentres,
      item => item.id,
    ),
    servers: indexBy(
      files['backend-servers.json'].backendServers,
      item => item.id,
    ),
    services: indexBy(
      files['plain-services.json'].plainServices,
      item => item.name,
    ),
  };
}

/** Encodes with sorted object keys, so that equal sets have equal digests. */
function encodeCanonical(value: unknown): string {
  return JSON.stringify(value, (_key, item) =>
    item !== null && typeof item === 'object' && !Array.isArray(item)
      ? Object.fromEntries(
          Object.entries(item).sort(([a], [b]) => (a < b ? -1 : 1)),
        )
      : item,
  );
}
