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

/** Options of {@link createMailbox}. */
export interface MailboxOptions<M extends TaskMessage> {
  /** Takes what a handler throws; without it, `post` throws it. */
  onError?: (error: unknown, message: M) => void;
}

/**
 * Creates a mailbox over a table of handlers. A message that is posted while
 * another is handled waits, so that a handler sees a consistent state. A
 * handler that throws does not keep later messages from being handled.
 */
export function createMailbox<M extends TaskMessage>(
  handlers: MessageHandlers<M>,
  options: MailboxOptions<M> = {},
): Mailbox<M> {
  const queue: M[] = [];
  let isBusy = false;

  function handleMessage(message: M): void {
    const handler = handlers[message.type as M['type']] as (m: M) => void;
    handler(message);
  }

  function drainQueue(): unknown[] {
    const errors: unknown[] = [];
    while (queue.length > 0) {
      const message = queue.shift()!;
      try {
        handleMessage(message);
      } catch (error) {
        if (options.onError) {
          options.onError(error, message);
        } else {
          errors.push(error);
        }
      }
    }
    return errors;
  }

  return {
    post: message => {
      queue.push(message);
      if (isBusy) {
        return;
      }
      isBusy = true;
      const [firstError] = drainQueue();
      isBusy = false;
      if (firstError !== undefined) {
        throw firstError;
      }
    },
  };
}
