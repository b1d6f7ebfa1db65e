/** Ends the process on SIGTERM, after the planned stop of its gateway. */
import {toRouterError} from '@buckthornbeam/shared';
import type {Logger} from '@buckthornbeam/shared';
import type {Gateway} from '../gateway.js';

export interface StopSignalOptions {
  /** Returns the gateway that was created last; undefined before the first. */
  getGateway: () => Gateway | undefined;
  logger: Logger;
}

export interface StopSignal {
  isReceived(): boolean;
}

const SIGNAL = 'SIGTERM';

/** Handles the signal from now on; further signals belong to the same stop. */
export function handleStopSignal({
  getGateway,
  logger,
}: StopSignalOptions): StopSignal {
  let isReceived = false;

  async function stop(): Promise<void> {
    let isLogWritten = true;
    try {
      isLogWritten = (await getGateway()?.stop()) ?? true;
    } catch (error) {
      // A process that goes on after a stop that failed would be killed.
      logger.error('stop_failed', {reason: toRouterError(error).message});
    }
    if (!isLogWritten) {
      // `process.exit` waits for the write of the log, which may never end; the default
      // action of the signal does not.
      process.removeAllListeners(SIGNAL);
      process.kill(process.pid, SIGNAL);
      return;
    }
    process.exit(0);
  }

  process.on(SIGNAL, () => {
    if (!isReceived) {
      isReceived = true;
      void stop();
    }
  });
  return {isReceived: () => isReceived};
}
