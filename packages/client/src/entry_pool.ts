/** List of router addresses, refreshed when it expires or an address fails. */
import type {Clock} from '@buckthornbeam/shared';
import {request} from 'undici';
import type {Dispatcher} from 'undici';

/** Options of {@link createEntryPool}. */
export interface EntryPoolOptions {
  /** Initial addresses, `host:port`. */
  addresses: readonly string[];
  dataCentre?: string;
  clock: Clock;
  dispatcher: Dispatcher;
}

export interface EntryPool {
  /** Returns the preferred address; first refreshes an expired list. */
  getCurrent(): Promise<string>;
  /** Ranks an address last and makes the next `getCurrent` refresh the list. */
  markFailed(address: string): void;
}

/** Answer to `GET /v1/entries`. */
interface EntryListResponse {
  entries: Array<{address: string}>;
  keepMs: number;
}

const LIST_TIMEOUT_MS = 1000;

export function createEntryPool(options: EntryPoolOptions): EntryPool {
  const {clock, dataCentre, dispatcher} = options;
  const failedAt = new Map<string, number>();
  let addresses = [...options.addresses];
  let listExpiresAt = -Infinity;

  async function fetchList(address: string): Promise<EntryListResponse> {
    const query =
      dataCentre === undefined
        ? ''
        : `?data_centre=${encodeURIComponent(dataCentre)}`;
    const response = await request(`http://${address}/v1/entries${query}`, {
      dispatcher,
      headersTimeout: LIST_TIMEOUT_MS,
      bodyTimeout: LIST_TIMEOUT_MS,
    });
    return (await response.body.json()) as EntryListResponse;
  }

  /**
   * Sorts by time of the last failure, addresses without one first; ties keep
   * the order of the list.
   */
  function rankAddresses(): string[] {
    const rank = (address: string) => failedAt.get(address) ?? -Infinity;
    return [...addresses].sort((a, b) => {
      const [left, right] = [rank(a), rank(b)];
      return left === right ? 0 : left - right;
    });
  }

  async function updateList(): Promise<void> {
    for (const address of rankAddresses()) {
      try {
        const list = await fetchList(address);
        listExpiresAt = clock.now() + list.keepMs;
        // The initial addresses stay as a fallback, behind the listed ones.
        const listedAddresses = list.entries.map(entry => entry.address);
        addresses = [...new Set([...listedAddresses, ...options.addresses])];
        return;
      } catch {
        failedAt.set(address, clock.now());
      }
    }
  }

  return {
    getCurrent: async () => {
      if (clock.now() >= listExpiresAt) {
        await updateList();
      }
      return rankAddresses()[0]!;
    },
    markFailed: address => {
      failedAt.set(address, clock.now());
      listExpiresAt = -Infinity;
    },
  };
}
