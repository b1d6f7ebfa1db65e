/** Queue of updates that are piggybacked on the messages to peers. */

/** Options of {@link createUpdateQueue}. */
export interface UpdateQueueOptions {
  /** Messages that carry each update, since datagrams can be lost. */
  copies?: number;
  /** Updates in one message. */
  maximumTaken: number;
  /** Waiting updates; beyond this, the oldest are dropped. */
  maximumWaiting?: number;
  /** Take the newest updates first; the oldest otherwise. */
  takesNewest?: boolean;
}

export interface UpdateQueue<Update> {
  add(updates: readonly Update[]): void;
  /** Returns the updates for the next message. */
  take(): Update[];
  isEmpty(): boolean;
}

const DEFAULT_COPIES = 2;
const DEFAULT_MAXIMUM_WAITING = 3000;

export function createUpdateQueue<Update>({
  copies = DEFAULT_COPIES,
  maximumTaken,
  maximumWaiting = DEFAULT_MAXIMUM_WAITING,
  takesNewest = false,
}: UpdateQueueOptions): UpdateQueue<Update> {
  let waiting: Array<{update: Update; copiesLeft: number}> = [];
  return {
    add: updates => {
      waiting.push(...updates.map(update => ({update, copiesLeft: copies})));
      waiting = waiting.slice(-maximumWaiting);
    },
    take: () => {
      const taken = takesNewest
        ? waiting.slice(-maximumTaken)
        : waiting.slice(0, maximumTaken);
      taken.forEach(item => (item.copiesLeft -= 1));
      waiting = waiting.filter(item => item.copiesLeft > 0);
      return taken.map(item => item.update);
    },
    isEmpty: () => waiting.length === 0,
  };
}
