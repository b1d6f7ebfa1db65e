/** The addresses that a caller uses, kept for as long as the service says. */
import type {Clock} from '@buckthornbeam/shared';
import {request} from 'undici';
import type {Dispatcher} from 'undici';

/** Options of {@link createEntries}. */
export interface EntriesOptions {
  /** Addresses known from the start, `host:port`. */
  addresses: readonly string[];
  dataCentre?: string;
  clock: Clock;
  dispatcher: Dispatcher;
}

/** The addresses in the order in which they are tried. */
export interface Entries {
  /** Returns the address to use now. */
  getCurrent(): Promise<string>;
  /** Moves an address behind all others. */
  markFailed(address: string): void;
}

interface EntryList {
  entries: Array<{address: string}>;
  keepMs: number;
}

const LIST_TIMEOUT_MS = 1000;

/** Creates the address list of one client. */
export function createEntries(options: EntriesOptions): Entries {
  const {clock, dataCentre, dispatcher} = options;
  const failedAt = new Map<string, number>();
  let addresses = [...options.addresses];
  let keepUntil = -Infinity;

  async function fetchList(address: string): Promise<EntryList> {
    const query =
      dataCentre === undefined
        ? ''
        : `?data_centre=${encodeURIComponent(dataCentre)}`;
    const response = await request(`http://${address}/v1/entries${query}`, {
      dispatcher,
      headersTimeout: LIST_TIMEOUT_MS,
      bodyTimeout: LIST_TIMEOUT_MS,
    });
    return (await response.body.json()) as EntryList;
  }

  /** Later failures come later; the service's order holds otherwise. */
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
        keepUntil = clock.now() + list.keepMs;
        // Addresses from the start stay, behind those that are named now.
        const named = list.entries.map(entry => entry.address);
        addresses = [...new Set([...named, ...options.addresses])];
        return;
      } catch {
        failedAt.set(address, clock.now());
      }
    }
  }

  return {
    getCurrent: async () => {
      if (clock.now() >= keepUntil) {
        await updateList();
      }
      return rankAddresses()[0]!;
    },
    markFailed: address => {
      failedAt.set(address, clock.now());
      keepUntil = -Infinity;
    },
  };
}
