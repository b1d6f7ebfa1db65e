/**
 * Counts the memory of heads, bodies and responses of all requests against one limit. At
 * the limit, unfinished and slow ones give way to others, those of requests
 * without a known key first.
 */
import type {Clock} from '@buckthornbeam/shared';
import type {BufferCollector} from './buffer_collector.js';
import {MemoryUse, compareClaims, canEvict} from './memory_claims.js';
import type {MemoryClaim} from './memory_claims.js';

export {MemoryUse};

/** Options of {@link MemoryBudget.openAccount}. */
export interface MemoryAccountOptions {
  use: MemoryUse;
  /** Whether the request has a known key, or needs none. */
  isKnown: boolean;
  /**
   * Ends the request to free its memory; the account is released already. Without
   * it, the account never gives way.
   */
  evict?: () => void;
}

/** Memory of one body or response. */
export interface MemoryAccount {
  readonly bytes: number;
  /** Sets the number of bytes; false, without any change, if they exceed the limit. */
  resize(bytes: number): boolean;
  /** Records that the sender or the reader goes on. */
  recordProgress(): void;
  /** Changes what the memory is used for. */
  setUse(use: MemoryUse): void;
  /** Releases all bytes; further calls have no effect. */
  release(): void;
}

/** Options of {@link createMemoryBudget}. */
export interface MemoryBudgetOptions {
  /** Infinity, the default, only counts. */
  limitBytes?: number;
  clock: Pick<Clock, 'now'>;
  /** Frees released buffers; without it, they are left to the garbage collector. */
  collector?: BufferCollector;
  /** Called when memory was refused or taken back. */
  onRefusal?: (use: MemoryUse, isEvicted: boolean) => void;
}

export interface MemoryBudget {
  readonly limitBytes: number;
  readonly heldBytes: number;
  openAccount(options: MemoryAccountOptions): MemoryAccount;
  /** Counts bytes read from a connection that no account holds. */
  countRead(bytes: number): void;
}

interface OpenAccount extends MemoryClaim {
  bytes: number;
  evict: (() => void) | undefined;
}

/** Part of the limit that requests leave to responses. */
const RESPONSE_RATIO = 0.25;

/** Needs no room that is taken by uncollected buffers: they are freed soon. */
const SMALL_BYTES = 65_536;

/** Uses that leave a part of the limit to responses. */
const REQUEST_USES: ReadonlySet<MemoryUse> = new Set([
  MemoryUse.HEAD,
  MemoryUse.RECEIVING,
  MemoryUse.BODY,
]);

function isOfRequest({use}: MemoryClaim): boolean {
  return REQUEST_USES.has(use);
}

export function createMemoryBudget(options: MemoryBudgetOptions): MemoryBudget {
  const {
    limitBytes = Infinity,
    clock,
    collector,
    onRefusal = () => undefined,
  } = options;
  const accounts = new Set<OpenAccount>();
  let heldBytes = 0;
  let requestBytes = 0;

  function addBytes(account: OpenAccount, bytes: number): void {
    account.bytes += bytes;
    heldBytes += bytes;
    if (isOfRequest(account)) {
      requestBytes += bytes;
    }
  }

  /** Counts the buffer of an account, which is released or replaced. */
  function countReleased({bytes}: OpenAccount): void {
    if (bytes > 0) {
      collector?.countReleased(bytes);
    }
  }

  function releaseAccount(account: OpenAccount): void {
    if (accounts.delete(account)) {
      countReleased(account);
      addBytes(account, -account.bytes);
    }
  }

  /** Bytes above the limit, with `bytes` more for this claim; 0 or less if they fit. */
  function computeExcess(claim: MemoryClaim, bytes: number): number {
    const total = heldBytes + bytes - limitBytes;
    return isOfRequest(claim)
      ? Math.max(
          total,
          requestBytes + bytes - limitBytes * (1 - RESPONSE_RATIO),
        )
      : total;
  }

  function makeRoom(claimant: OpenAccount, bytes: number): void {
    const now = clock.now();
    const candidates = [...accounts]
      .filter(
        account =>
          account !== claimant &&
          account.bytes > 0 &&
          account.evict !== undefined &&
          canEvict(claimant, account, now),
      )
      .sort((first, second) => compareClaims(first, second, now));
    for (const account of candidates) {
      if (computeExcess(claimant, bytes) <= 0) {
        return;
      }
      releaseAccount(account);
      onRefusal(account.use, true);
      account.evict!();
    }
  }

  function hasRoom(account: OpenAccount, bytes: number): boolean {
    if (computeExcess(account, bytes) > 0) {
      makeRoom(account, bytes);
    }
    if (computeExcess(account, bytes) > 0) {
      return false;
    }
    const canFit = () =>
      heldBytes + bytes + (collector?.uncollectedBytes ?? 0) <= limitBytes;
    if (!canFit()) {
      collector?.collect();
    }
    return bytes <= SMALL_BYTES || canFit();
  }

  function updateAccount(account: OpenAccount, bytes: number): boolean {
    const added = bytes - account.bytes;
    if (!accounts.has(account)) {
      return false;
    }
    if (added > 0 && limitBytes !== Infinity && !hasRoom(account, added)) {
      onRefusal(account.use, false);
      return false;
    }
    if (added > 0 && account.use !== MemoryUse.UNREAD) {
      // A buffer that grows is replaced.
      countReleased(account);
    }
    addBytes(account, added);
    return true;
  }

  return {
    limitBytes,
    get heldBytes() {
      return heldBytes;
    },
    countRead: bytes => collector?.countRead(bytes),
    openAccount: ({use, isKnown, evict}) => {
      const account: OpenAccount = {
        use,
        isKnown,
        evict,
        bytes: 0,
        progressAt: clock.now(),
      };
      accounts.add(account);
      return {
        get bytes() {
          return account.bytes;
        },
        resize: bytes => updateAccount(account, bytes),
        recordProgress: () => {
          account.progressAt = clock.now();
        },
        setUse: nextUse => {
          const {bytes} = account;

          addBytes(account, -bytes);
          account.use = nextUse;
          addBytes(account, bytes);
        },
        release: () => releaseAccount(account),
      };
    },
  };
}
