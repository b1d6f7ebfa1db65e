/** The total order of file sets. */
import type {FileSetVersion} from './file_set.js';

/** Compares two versions by revision, then by digest; like a sort comparator. */
export function compareVersions(a: FileSetVersion, b: FileSetVersion): number {
  if (a.revision !== b.revision) {
    return a.revision - b.revision;
  }
  if (a.digest === b.digest) {
    return 0;
  }
  return a.digest < b.digest ? -1 : 1;
}

/** Whether a set may replace the one in force; a smaller one never may. */
export function isNewer(
  candidate: FileSetVersion,
  inForce: FileSetVersion | undefined,
): boolean {
  return inForce === undefined || compareVersions(candidate, inForce) > 0;
}
