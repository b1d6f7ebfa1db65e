/**
 * The lender: lends this member's share of every server to one owner at a
 * time. Ownership moves in two steps. While `next` differs from `lent`, only
 * servers that have the same owner under both are lent; `next` takes the place
 * of `lent` once every borrower has applied both or its lease has ended.
 */
import {findKnownOwnerHash, hasSameMembers} from './ownership.js';

/** What a lender tells a borrower. */
export interface LoanTerms {
  /** Grows with every change of the candidates. */
  version: number;
  /** Whether the receiver may use the share. */
  isGranted: boolean;
  /** Candidates that ownership is computed from, as member hashes. */
  lent: readonly number[];
  /** Candidates that are to take the place of `lent`. */
  next: readonly number[];
}

/** Options of {@link createLender}. */
export interface LenderOptions {
  /** Time after which a lease has ended on any clock, in milliseconds. */
  leaseWaitMs: number;
  /** Monotonic time of the start, in milliseconds. */
  startedAt: number;
}

/** What the lender learns from a heartbeat. */
export interface BorrowerSign {
  memberHash: number;
  incarnation: string;
  /** Loan version that the borrower applied; undefined when it has none. */
  loanVersion: number | undefined;
}

/** Lends one member's share. */
export interface Lender {
  /** Sets the members that may own servers from now on. */
  setCandidates(hashes: readonly number[]): void;
  /** Records a heartbeat of a borrower. */
  recordSign(sign: BorrowerSign, now: number): void;
  /** Moves `next` into the place of `lent` once that is safe. */
  advance(now: number): void;
  makeTerms(memberHash: number, now: number): LoanTerms;
  /** Whether the share of a server is lent to the given member. */
  isLentTo(memberHash: number, serverId: string, now: number): boolean;
}

interface Borrower {
  incarnation: string;
  heardAt: number;
  loanVersion: number | undefined;
  /** End of the lease of an earlier incarnation. */
  withheldUntil: number;
}

/** Whether a server falls to a member under both sets of candidates. */
export function isLent(
  terms: Pick<LoanTerms, 'lent' | 'next'>,
  serverId: string,
  memberHash: number,
): boolean {
  return (
    findKnownOwnerHash(serverId, terms.lent) === memberHash &&
    (terms.next === terms.lent ||
      findKnownOwnerHash(serverId, terms.next) === memberHash)
  );
}

/** Creates a lender that grants nothing until earlier leases have ended. */
export function createLender(options: LenderOptions): Lender {
  const {leaseWaitMs, startedAt} = options;
  const grantsFrom = startedAt + leaseWaitMs;
  const borrowers = new Map<number, Borrower>();
  let lent: readonly number[] = [];
  let next: readonly number[] = [];
  let version = 0;

  function hasLetGo(memberHash: number, now: number): boolean {
    const borrower = borrowers.get(memberHash);
    if (!borrower) {
      // Nothing can have been granted to a member that was never heard.
      return true;
    }
    const {heardAt, loanVersion, withheldUntil} = borrower;
    const hasApplied = loanVersion === version && now >= withheldUntil;
    return hasApplied || now >= heardAt + leaseWaitMs;
  }

  function isGrantedTo(memberHash: number, now: number): boolean {
    const withheldUntil = borrowers.get(memberHash)?.withheldUntil ?? 0;
    return now >= Math.max(grantsFrom, withheldUntil);
  }

  return {
    setCandidates: hashes => {
      const sorted = [...hashes].sort((a, b) => a - b);
      if (hasSameMembers(sorted, next)) {
        return;
      }
      next = hasSameMembers(sorted, lent) ? lent : sorted;
      version += 1;
    },
    recordSign: ({memberHash, incarnation, loanVersion}, now) => {
      const known = borrowers.get(memberHash);
      const isReplaced = known && known.incarnation !== incarnation;
      borrowers.set(memberHash, {
        incarnation,
        heardAt: now,
        loanVersion,
        withheldUntil: isReplaced
          ? Math.max(known.heardAt + leaseWaitMs, known.withheldUntil)
          : (known?.withheldUntil ?? 0),
      });
    },
    advance: now => {
      if (lent === next) {
        return;
      }
      if (lent.every(memberHash => hasLetGo(memberHash, now))) {
        lent = next;
        version += 1;
      }
    },
    makeTerms: (memberHash, now) => ({
      version,
      isGranted: isGrantedTo(memberHash, now),
      lent,
      next,
    }),
    isLentTo: (memberHash, serverId, now) =>
      isGrantedTo(memberHash, now) &&
      isLent({lent, next}, serverId, memberHash),
  };
}
