/** Simulated time: what is due, in the order of time. */

/** An agenda; times are in milliseconds. */
export interface Agenda {
  readonly now: number;
  /** Runs an action at a time, not before the present. */
  runAt(at: number, action: () => void): void;
  /** Runs all that is due up to a time. */
  advanceTo(at: number): void;
}

interface Entry {
  at: number;
  /** Keeps the order of entries of one moment. */
  order: number;
  action: () => void;
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Creates an empty agenda at time 0. */
export function createAgenda(): Agenda {
  /** A binary heap with the next entry first. */
  const heap: Entry[] = [];
  let now = 0;
  let order = 0;

  function add(entry: Entry): void {
    let index = heap.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(entry, heap[parent]!)) {
        break;
      }
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = entry;
  }

  function removeFirst(): Entry {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) {
      return first;
    }
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) {
        break;
      }
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, last)) {
        break;
      }
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }

  return {
    get now() {
      return now;
    },
    runAt: (at, action) => {
      order += 1;
      add({at: Math.max(now, at), order, action});
    },
    advanceTo: at => {
      while (heap.length > 0 && heap[0]!.at <= at) {
        const entry = removeFirst();
        now = entry.at;
        entry.action();
      }
      now = at;
    },
  };
}
