/** Total order of file set versions. */
import type {FileSetVersion} from './file_set.js';

/** Compares by revision, then by digest; usable as a sort comparator. */
export function compareVersions(a: FileSetVersion, b: FileSetVersion): number {
  if (a.revision !== b.revision) {
    return a.revision - b.revision;
  }
  if (a.digest === b.digest) {
    return 0;
  }
  return a.digest < b.digest ? -1 : 1;
}

/** Whether a set may replace the one in force: only a greater version may. */
export function isNewer(
  candidate: FileSetVersion,
  inForce: FileSetVersion | undefined,
): boolean {
  return inForce === undefined || compareVersions(candidate, inForce) > 0;
}
