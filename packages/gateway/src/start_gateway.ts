/** Starts a gateway whose addresses an earlier process may still hold. */
import {waitFor} from '@buckthornbeam/shared';
import type {Logger} from '@buckthornbeam/shared';
import type {Gateway} from './gateway.js';

/** Options of {@link startGateway}. */
export interface StartGatewayOptions {
  /** Creates a gateway for each attempt, since one that failed cannot start again. */
  create: () => Gateway;
  /** Whether the process ends, so that nothing is to be started any more. */
  isStopping?: () => boolean;
  logger: Logger;
}

const START_ATTEMPTS = 5;
const START_RETRY_MS = 400;

/**
 * Starts a gateway; an address that is in use is tried again.
 * @throws Error of a listener
 */
export async function startGateway({
  create,
  isStopping = () => false,
  logger,
}: StartGatewayOptions): Promise<Gateway> {
  for (let attempt = 1; ; attempt++) {
    const gateway = create();
    try {
      await gateway.start();
      return gateway;
    } catch (error) {
      const {code, message} = error as NodeJS.ErrnoException;
      if (code !== 'EADDRINUSE' || attempt === START_ATTEMPTS || isStopping()) {
        throw error;
      }
      logger.warn('start_retried', {reason: message});
      await waitFor(START_RETRY_MS);
    }
  }
}
