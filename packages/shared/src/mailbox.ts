/** A mailbox: the messages of a task are handled one after another. */

/** A message of a task; `type` selects the handler. */
export interface TaskMessage {
  readonly type: string;
}

/** One handler for each type of message. */
export type MessageHandlers<M extends TaskMessage> = {
  [T in M['type']]: (message: Extract<M, {type: T}>) => void;
};

/** Takes messages for a task. */
export interface Mailbox<M extends TaskMessage> {
  post(message: M): void;
}

/**
 * Creates a mailbox over a table of handlers. A message that is posted while
 * another is handled waits, so that a handler sees a consistent state.
 */
export function createMailbox<M extends TaskMessage>(
  handlers: MessageHandlers<M>,
): Mailbox<M> {
  const queue: M[] = [];
  let isBusy = false;

  function handleNext(message: M) {
    const handler = handlers[message.type as M['type']] as (m: M) => void;
    handler(message);
  }

  return {
    post: message => {
      queue.push(message);
      if (isBusy) {
        return;
      }
      isBusy = true;
      try {
        while (queue.length > 0) {
          handleNext(queue.shift()!);
        }
      } finally {
        isBusy = false;
      }
    },
  };
}
