/** The chain of file sets: each names the one that it was made from. */
import {createFileSet} from './create_file_set.js';
import type {FileSet} from './file_set.js';
import type {CheckError} from './schema_check.js';

/** Checks that a set may follow the set that it was made from. */
export function checkAgainstBase(set: FileSet, base: FileSet): CheckError[] {
  const errors: CheckError[] = [];
  const {revision, basedOn, name} = set.files['service.json'];
  const baseName = base.files['service.json'].name;
  if (name !== baseName) {
    errors.push({
      file: 'service.json',
      path: '/name',
      expected: `the name of the base, "${baseName}"`,
      advice: 'Take the file set of the same service as base.',
    });
  }
  if (revision <= base.version.revision) {
    errors.push({
      file: 'service.json',
      path: '/revision',
      expected: `more than ${base.version.revision}, the revision of the base`,
      advice: 'Raise the revision; a set that is not greater is never taken.',
    });
  }
  if (basedOn !== base.version.digest) {
    errors.push({
      file: 'service.json',
      path: '/basedOn',
      expected: `the digest of the base, ${base.version.digest}`,
      advice:
        'Look at what changed meanwhile with "buckthornbeam diff", then bundle with --based-on.',
    });
  }
  return errors;
}

/** Creates the set with the digest of its base in place. */
export function createFileSetOnBase(set: FileSet, base: FileSet): FileSet {
  return createFileSet({
    ...set.files,
    'service.json': {
      ...set.files['service.json'],
      basedOn: base.version.digest,
    },
  });
}
