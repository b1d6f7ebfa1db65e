/** One life of a backend server, to which its statements are bound. */

/**
 * One life of a server: its process from start to end. An id, or an address, may
 * be used again by a later process.
 */
export interface ServerLife {
  id: string;
  /** `host:port` */
  address: string;
  /** Start time as listed, in milliseconds since 1970. */
  startedAt: number | undefined;
}

/** An entry may have lost its start, or get it later; the address decides then. */
export function isSameLife(a: ServerLife, b: ServerLife): boolean {
  const areStartsKnown = a.startedAt !== undefined && b.startedAt !== undefined;
  return (
    a.id === b.id &&
    (areStartsKnown ? a.startedAt === b.startedAt : a.address === b.address)
  );
}

/** Whether the listed life started later under the same id. */
export function isReplacedBy(life: ServerLife, listed: ServerLife): boolean {
  return (
    life.startedAt !== undefined &&
    listed.startedAt !== undefined &&
    listed.startedAt > life.startedAt
  );
}
