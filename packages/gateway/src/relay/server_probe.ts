/** Finds out whether a server has ended, by connecting to it. */
import {connect} from 'node:net';
import {splitAddress, waitFor} from '@buckthornbeam/shared';
import type {BackendServer} from '../model.js';

export interface ServerProbe {
  /**
   * Whether the server accepts no connections; false if that is not certain.
   * Concurrent calls for a server share one probe.
   */
  hasEnded(server: BackendServer): Promise<boolean>;
}

/**
 * Times of the connections after the call. The listener of a process that ends
 * may be closed after its connections.
 */
const CONNECT_DELAYS_MS = [20, 150];
const CONNECT_TIMEOUT_MS = 400;

function isRefused(address: string): Promise<boolean> {
  return new Promise(resolve => {
    const socket = connect(splitAddress(address));
    function finish(refused: boolean): void {
      socket.destroy();
      resolve(refused);
    }
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(false));
    socket.on('connect', () => finish(false));
    socket.on('error', error =>
      finish((error as NodeJS.ErrnoException).code === 'ECONNREFUSED'),
    );
  });
}

export function createServerProbe(): ServerProbe {
  const probes = new Map<string, Promise<boolean>>();

  async function probeServer({address}: BackendServer): Promise<boolean> {
    for (const delayMs of CONNECT_DELAYS_MS) {
      await waitFor(delayMs);
      if (await isRefused(address)) {
        return true;
      }
    }
    return false;
  }

  return {
    hasEnded: server => {
      let probe = probes.get(server.id);
      if (!probe) {
        probe = probeServer(server).finally(() => probes.delete(server.id));
        probes.set(server.id, probe);
      }
      return probe;
    },
  };
}
