/** Memory of one request: its body, the responses of servers, and what is unread. */
import {MemoryUse} from './memory_budget.js';
import type {MemoryAccount, MemoryBudget} from './memory_budget.js';

export interface RequestMemory {
  /** Sets whether the request has a known key; false before. */
  setKnown(isKnown: boolean): void;
  /** Opens the account of the body; `evict` refuses the request. */
  openBody(evict: () => void): MemoryAccount;
  /** Records that the body is complete. */
  markComplete(): void;
  /** Opens the account of the response of one attempt. */
  openResponse(): MemoryAccount;
  /** Counts bytes read from a server, which are copied or passed on. */
  countRead(bytes: number): void;
  /**
   * Sets the bytes of the response that wait for the caller. `isBuffered` tells that
   * they are those of the last response account.
   */
  setUnread(bytes: number, isBuffered: boolean): void;
  /** Releases all but what waits for the caller. */
  endRelay(): void;
  /** Releases everything. */
  release(): void;
}

/** Options of {@link createRequestMemory}. */
export interface RequestMemoryOptions {
  budget: MemoryBudget;
  /** Closes the connection of a caller that does not read its response. */
  closeResponse: () => void;
}

export function createRequestMemory({
  budget,
  closeResponse,
}: RequestMemoryOptions): RequestMemory {
  let isKnown = false;
  let isReleased = false;
  let body: MemoryAccount | undefined;
  const responses: MemoryAccount[] = [];
  let unread: MemoryAccount | undefined;
  let lastUnreadBytes = 0;
  /** The buffer of the response waits as a whole, however much of it is read. */
  let isBufferKept = false;

  function releaseResponses(): void {
    responses.splice(0).forEach(account => account.release());
  }

  /** Makes the buffer of the last attempt the one that waits for the caller. */
  function keepLastResponse(): void {
    isBufferKept = true;
    const last = responses.pop();
    if (last) {
      unread = last;
      unread.setUse(MemoryUse.UNREAD);
    }
    releaseResponses();
  }

  function updateUnread(bytes: number): void {
    unread ??= budget.openAccount({
      use: MemoryUse.UNREAD,
      isKnown,
      evict: closeResponse,
    });
    if (!unread.resize(bytes)) {
      closeResponse();
    }
  }

  return {
    setKnown: known => {
      isKnown = known;
    },
    openBody: evict => {
      body = budget.openAccount({use: MemoryUse.RECEIVING, isKnown, evict});
      return body;
    },
    markComplete: () => body?.setUse(MemoryUse.BODY),
    openResponse: () => {
      const account = budget.openAccount({
        use: MemoryUse.RESPONSE,
        isKnown,
        evict: closeResponse,
      });
      responses.push(account);
      return account;
    },
    countRead: bytes => budget.countRead(bytes),
    setUnread: (bytes, isBuffered) => {
      if (isReleased) {
        return;
      }
      if (isBuffered) {
        keepLastResponse();
      } else if (!isBufferKept) {
        updateUnread(bytes);
      }
      if (bytes < lastUnreadBytes) {
        unread?.recordProgress();
      }
      lastUnreadBytes = bytes;
    },
    endRelay: () => {
      body?.release();
      releaseResponses();
    },
    release: () => {
      isReleased = true;
      body?.release();
      releaseResponses();
      unread?.release();
    },
  };
}
