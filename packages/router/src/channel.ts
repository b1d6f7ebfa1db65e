/** A bounded asynchronous queue with one producer and one consumer. */

export interface Channel<T> extends AsyncIterable<T> {
  /**
   * Adds an item; resolves when there is room for the next one. Does nothing
   * after `end`.
   */
  push(item: T): Promise<void>;
  /** Closes the channel; the consumer still receives the queued items. */
  end(): void;
}

const DEFAULT_CAPACITY = 64;

/**
 * Creates an empty channel.
 *
 * @param capacity Number of queued items at which `push` starts to wait.
 */
export function createChannel<T>(capacity = DEFAULT_CAPACITY): Channel<T> {
  const items: T[] = [];
  let hasEnded = false;
  let wakeConsumer: (() => void) | undefined;
  let wakeProducer: (() => void) | undefined;

  function takeItem(): T | undefined {
    const item = items.shift();
    wakeProducer?.();
    wakeProducer = undefined;
    return item;
  }

  return {
    push: async item => {
      if (hasEnded) {
        return;
      }
      items.push(item);
      wakeConsumer?.();
      if (items.length >= capacity) {
        await new Promise<void>(resolve => {
          wakeProducer = resolve;
        });
      }
    },
    end: () => {
      hasEnded = true;
      wakeConsumer?.();
      wakeProducer?.();
    },
    async *[Symbol.asyncIterator]() {
      for (;;) {
        if (items.length > 0) {
          yield takeItem()!;
        } else if (hasEnded) {
          return;
        } else {
          await new Promise<void>(resolve => {
            wakeConsumer = resolve;
          });
          wakeConsumer = undefined;
        }
      }
    },
  };
}
