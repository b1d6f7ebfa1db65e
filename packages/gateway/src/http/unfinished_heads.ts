/**
 * Counts the heads of requests that are not complete in the memory budget. node:http
 * gives no event before a head is complete, so that they are sampled.
 */
import type {Socket} from 'node:net';
import {MemoryUse} from '../memory/memory_budget.js';
import type {MemoryAccount, MemoryBudget} from '../memory/memory_budget.js';

/** A connection that has sent a part of a head. */
export interface UnfinishedHead {
  socket: Socket;
  bytes: number;
}

/** Options of {@link createUnfinishedHeads}. */
export interface UnfinishedHeadsOptions {
  budget: MemoryBudget;
  listHeads: () => Iterable<UnfinishedHead>;
}

export interface UnfinishedHeads {
  /** Counts the heads of now; closes connections whose heads find no memory. */
  sample(): void;
  /** Releases all accounts. */
  stop(): void;
}

/**
 * Memory of the fields that the parser has split already, as a ratio to their bytes. A
 * field of ten bytes becomes two strings of 16 to 24 bytes each, in a list that grows by
 * copying.
 */
const FIELD_RATIO = 8;
/** node:http keeps 1000 fields of a head at most. */
const MAXIMUM_FIELD_BYTES = 65_536;

function computeHeldBytes(bytes: number): number {
  return bytes + Math.min(bytes * (FIELD_RATIO - 1), MAXIMUM_FIELD_BYTES);
}

export function createUnfinishedHeads({
  budget,
  listHeads,
}: UnfinishedHeadsOptions): UnfinishedHeads {
  const accounts = new Map<Socket, MemoryAccount>();

  function releaseHead(socket: Socket): void {
    accounts.get(socket)?.release();
    accounts.delete(socket);
  }

  function openAccount(socket: Socket): MemoryAccount {
    const account = budget.openAccount({
      use: MemoryUse.HEAD,
      // The key is in the head.
      isKnown: false,
      evict: () => {
        accounts.delete(socket);
        socket.destroy();
      },
    });
    accounts.set(socket, account);
    socket.once('close', () => releaseHead(socket));
    return account;
  }

  function updateHead({socket, bytes}: UnfinishedHead): void {
    const account = accounts.get(socket) ?? openAccount(socket);
    const heldBytes = computeHeldBytes(bytes);
    if (heldBytes === account.bytes) {
      return;
    }
    account.recordProgress();
    if (!account.resize(heldBytes)) {
      releaseHead(socket);
      socket.destroy();
    }
  }

  return {
    sample: () => {
      const heads = [...listHeads()];
      const sockets = new Set(heads.map(({socket}) => socket));
      for (const socket of [...accounts.keys()]) {
        if (!sockets.has(socket)) {
          releaseHead(socket);
        }
      }
      for (const head of heads) {
        // Another head may have taken its memory.
        if (!head.socket.destroyed) {
          updateHead(head);
        }
      }
    },
    stop: () => {
      for (const socket of [...accounts.keys()]) {
        releaseHead(socket);
      }
    },
  };
}
