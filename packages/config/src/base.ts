/** Checks a file set against its base, the set that it was derived from. */
import {createFileSet} from './create_file_set.js';
import type {FileSet} from './file_set.js';
import type {CheckError} from './schema_check.js';

/**
 * Checks that `set` may replace `base`: it has the same name, a greater revision
 * and the digest of the base in `basedOn`. An empty list means that it may.
 */
export function checkAgainstBase(set: FileSet, base: FileSet): CheckError[] {
  const errors: CheckError[] = [];
  const {revision, basedOn, name} = set.files['service.json'];
  const baseName = base.files['service.json'].name;
  if (name !== baseName) {
    errors.push({
      file: 'service.json',
      path: '/name',
      expected: `the name of the base, "${baseName}"`,
      advice: 'Use a file set of the same service as the base.',
    });
  }
  if (revision <= base.version.revision) {
    errors.push({
      file: 'service.json',
      path: '/revision',
      expected: `more than ${base.version.revision}, the revision of the base`,
      advice: 'Raise the revision; instances only accept a newer file set.',
    });
  }
  if (basedOn !== base.version.digest) {
    errors.push({
      file: 'service.json',
      path: '/basedOn',
      expected: `the digest of the base, ${base.version.digest}`,
      advice:
        'Review the changes since with "buckthornbeam diff", then bundle with --based-on.',
    });
  }
  return errors;
}

/** Copies `set` with `basedOn` set to the digest of `base`; throws a ConfigError. */
export function createFileSetOnBase(set: FileSet, base: FileSet): FileSet {
  return createFileSet({
    ...set.files,
    'service.json': {
      ...set.files['service.json'],
      basedOn: base.version.digest,
    },
  });
}
