/** Event queue of the simulation: runs scheduled actions in order of time. */

/** Times are in simulated milliseconds. */
export interface EventQueue {
  readonly now: number;
  /** Schedules an action; a time in the past counts as now. */
  runAt(at: number, action: () => void): void;
  /** Runs all actions due up to and including `at`, then sets `now` to it. */
  advanceTo(at: number): void;
}

interface ScheduledAction {
  at: number;
  /** Actions of the same time run in the order in which they were scheduled. */
  order: number;
  action: () => void;
}

function isBefore(a: ScheduledAction, b: ScheduledAction): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

/** Creates an empty queue at time 0. */
export function createEventQueue(): EventQueue {
  /** Binary min-heap by time and order. */
  const heap: ScheduledAction[] = [];
  let now = 0;
  let lastOrder = 0;

  function add(entry: ScheduledAction): void {
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

  function removeFirst(): ScheduledAction {
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
      lastOrder += 1;
      add({at: Math.max(now, at), order: lastOrder, action});
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
