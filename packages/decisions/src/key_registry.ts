/**
 * Registry of idempotency keys: records which ticket holds a customer's key, so
 * that a key is not executed under two tickets.
 */

/** Result of a claim. */
export interface KeyClaim {
  isGranted: boolean;
  /** Ticket that holds the key after the claim. */
  holderTicketId: string;
}

/** Options of {@link createKeyRegistry}. */
export interface KeyRegistryOptions {
  /** Maximum number of keys; beyond it, the oldest are removed. */
  capacity?: number;
  /** Time from its first claim for which a key is kept, in milliseconds. */
  keepMs?: number;
}

/** The keys that this instance is responsible for. */
export interface KeyRegistry {
  /** Grants the key to the ticket unless another ticket holds it. */
  claim(key: string, ticketId: string, now: number): KeyClaim;
  /**
   * Releases the key if the ticket holds it; only for tickets that did not run.
   */
  release(key: string, ticketId: string): void;
  countKeys(): number;
}

interface Holder {
  ticketId: string;
  expiresAt: number;
}

const DEFAULT_CAPACITY = 16_384;
const DEFAULT_KEEP_MS = 3_600_000;

export function createKeyRegistry(
  options: KeyRegistryOptions = {},
): KeyRegistry {
  const {capacity = DEFAULT_CAPACITY, keepMs = DEFAULT_KEEP_MS} = options;
  // Sorted by age: a repeated claim does not extend the expiry.
  const holders = new Map<string, Holder>();

  function removeExpired(now: number): void {
    for (const [key, holder] of holders) {
      if (holder.expiresAt > now && holders.size <= capacity) {
        return;
      }
      holders.delete(key);
    }
  }

  return {
    claim: (key, ticketId, now) => {
      removeExpired(now);
      const holder = holders.get(key);
      if (holder) {
        const {ticketId: holderTicketId} = holder;
        return {isGranted: holderTicketId === ticketId, holderTicketId};
      }
      holders.set(key, {ticketId, expiresAt: now + keepMs});
      removeExpired(now);
      return {isGranted: true, holderTicketId: ticketId};
    },
    release: (key, ticketId) => {
      if (holders.get(key)?.ticketId === ticketId) {
        holders.delete(key);
      }
    },
    countKeys: () => holders.size,
  };
}
