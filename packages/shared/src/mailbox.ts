/** Mailboxes: the messages of a task are handled one at a time, in order. */

/** A message of a task; `type` selects the handler. */
export interface TaskMessage {
  readonly type: string;
}

/** One handler for each message type. */
export type MessageHandlers<M extends TaskMessage> = {
  [T in M['type']]: (message: Extract<M, {type: T}>) => void;
};

export interface Mailbox<M extends TaskMessage> {
  /** Handles a message at once, or queues it while another one is handled. */
  post(message: M): void;
}

/** Options of {@link createMailbox}. */
export interface MailboxOptions<M extends TaskMessage> {
  /** Receives errors of handlers; without it, `post` rethrows the first one. */
  onError?: (error: unknown, message: M) => void;
}

/**
 * Creates a mailbox. A message that a handler posts is queued until that
 * handler returns, so that handlers always see a consistent state. If a handler
 * throws, the queued messages are still handled.
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
