import {readFileSync, statSync} from 'node:fs';
import {decodeBundle, loadFileSet} from '@buckthornbeam/config';
import type {FileSet} from '@buckthornbeam/config';

/** Reads a file set from a directory or, if the path is a file, a bundle. */
export function readFileSet(path: string): FileSet {
  const stats = statSync(path, {throwIfNoEntry: false});
  return stats?.isFile()
    ? decodeBundle(readFileSync(path, 'utf8').trim())
    : loadFileSet(path);
}
