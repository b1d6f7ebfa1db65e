/** The home of idempotency keys: which ticket holds a customer's key. */

/** Answer to a claim. */
export interface KeyClaim {
  isGranted: boolean;
  /** Ticket that holds the key after the claim. */
  holderTicketId: string;
}

/** Options of {@link createKeyHome}. */
export interface KeyHomeOptions {
  /** Most keys that are remembered. */
  capacity?: number;
  /** Time for which a key is remembered, in milliseconds. */
  keepMs?: number;
}

/** The keys whose home is this instance. */
export interface KeyHome {
  /** Gives the key to the ticket unless another ticket holds it. */
  claim(key: string, ticketId: string, now: number): KeyClaim;
  /** Frees the key of a ticket that provably did not run. */
  release(key: string, ticketId: string): void;
  countKeys(): number;
}

interface Holder {
  ticketId: string;
  expiresAt: number;
}

const DEFAULT_CAPACITY = 16_384;
const DEFAULT_KEEP_MS = 3_600_000;

/** Creates a home without keys. */
export function createKeyHome(options: KeyHomeOptions = {}): KeyHome {
  const {capacity = DEFAULT_CAPACITY, keepMs = DEFAULT_KEEP_MS} = options;
  // Insertion order is age order: a repeated claim does not extend the time.
  const holders = new Map<string, Holder>();

  function removeOld(now: number): void {
    for (const [key, holder] of holders) {
      if (holder.expiresAt > now && holders.size <= capacity) {
        return;
      }
      holders.delete(key);
    }
  }

  return {
    claim: (key, ticketId, now) => {
      removeOld(now);
      const holder = holders.get(key);
      if (holder) {
        const {ticketId: holderTicketId} = holder;
        return {isGranted: holderTicketId === ticketId, holderTicketId};
      }
      holders.set(key, {ticketId, expiresAt: now + keepMs});
      removeOld(now);
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
