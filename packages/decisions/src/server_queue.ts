/**
 * The queue of one backend server. Its owner is the only dispatcher, so the
 * count of running requests is exact and never passes the limit.
 */
import type {ErrorCode} from '@buckthornbeam/shared';

/** A request that waits for, or runs on, a backend server. */
export interface QueuedRequest {
  attemptId: string;
  className: string;
  customerId: string;
  /** 1 is the highest priority. */
  tier: number;
  /** Time at which the class target is missed, in monotonic milliseconds. */
  deadline: number;
  /** Estimated work, in tokens. */
  estimatedTokens: number;
}

/** Messages to a queue. */
export type QueueMessage =
  | {type: 'enqueue'; request: QueuedRequest}
  | {type: 'finish'; attemptId: string}
  | {type: 'cancel'; attemptId: string}
  | {type: 'set_limit'; limit: number};

/** What the owner has to do after a message. */
export type QueueAction =
  | {type: 'dispatch'; request: QueuedRequest}
  | {type: 'refuse'; request: QueuedRequest; code: ErrorCode};

/** Options of {@link createServerQueue}. */
export interface ServerQueueOptions {
  /** Requests that may run at once. */
  limit: number;
  /** Requests that may wait. */
  maximumQueued?: number;
}

/** The state of one server's queue. */
export interface ServerQueue {
  /** Applies a message at a monotonic time in milliseconds. */
  step(message: QueueMessage, now: number): QueueAction[];
  readonly limit: number;
  countRunning(): number;
  countQueued(): number;
}

const DEFAULT_MAXIMUM_QUEUED = 256;

function compareUrgency(a: QueuedRequest, b: QueuedRequest): number {
  return a.tier - b.tier || a.deadline - b.deadline;
}

/** Creates an empty queue. */
export function createServerQueue(options: ServerQueueOptions): ServerQueue {
  const {maximumQueued = DEFAULT_MAXIMUM_QUEUED} = options;
  let limit = options.limit;
  const waiting: QueuedRequest[] = [];
  const running = new Map<string, QueuedRequest>();

  function dispatchWaiting(): QueueAction[] {
    const actions: QueueAction[] = [];
    while (running.size < limit && waiting.length > 0) {
      const request = waiting.shift()!;
      running.set(request.attemptId, request);
      actions.push({type: 'dispatch', request});
    }
    return actions;
  }

  function addWaiting(request: QueuedRequest): QueueAction[] {
    waiting.push(request);
    waiting.sort(compareUrgency);
    const actions = dispatchWaiting();
    if (waiting.length > maximumQueued) {
      const last = waiting.pop()!;
      actions.push({type: 'refuse', request: last, code: 'overloaded'});
    }
    return actions;
  }

  function removeWaiting(attemptId: string): void {
    const index = waiting.findIndex(item => item.attemptId === attemptId);
    if (index >= 0) {
      waiting.splice(index, 1);
    }
  }

  const handlers: {
    [T in QueueMessage['type']]: (
      message: Extract<QueueMessage, {type: T}>,
      now: number,
    ) => QueueAction[];
  } = {
    enqueue: message => addWaiting(message.request),
    finish: message => {
      running.delete(message.attemptId);
      return dispatchWaiting();
    },
    cancel: message => {
      removeWaiting(message.attemptId);
      running.delete(message.attemptId);
      return dispatchWaiting();
    },
    set_limit: message => {
      limit = message.limit;
      return dispatchWaiting();
    },
  };

  return {
    step: (message, now) => handlers[message.type](message as never, now),
    get limit() {
      return limit;
    },
    countRunning: () => running.size,
    countQueued: () => waiting.length,
  };
}
