/** The borrower: the shares that other members have lent to this one. */
import {isLent} from './lender.js';
import type {LoanTerms} from './lender.js';
import {hasSameMembers} from './ownership.js';

/** Shares that were lent to one member. */
export interface Borrower {
  /** Applies the terms of a lender; they hold until `expiresAt`. */
  apply(lenderHash: number, terms: LoanTerms, expiresAt: number): void;
  /** Forgets what a lender lent. */
  release(lenderHash: number): void;
  /** Whether the share of a lender may be used for a server now. */
  has(lenderHash: number, serverId: string, now: number): boolean;
}

interface Loan {
  terms: LoanTerms;
  expiresAt: number;
}

/** Keeps known lists of members, for which owners are remembered. */
function mergeTerms(terms: LoanTerms, known: LoanTerms): LoanTerms {
  const {lent, next} = known;
  const isSame =
    hasSameMembers(terms.lent, lent) && hasSameMembers(terms.next, next);
  return isSame ? {...terms, lent, next} : terms;
}

/** Creates a borrower without loans. */
export function createBorrower(getSelfHash: () => number): Borrower {
  const loans = new Map<number, Loan>();
  return {
    apply: (lenderHash, terms, expiresAt) => {
      if (terms.isGranted) {
        const known = loans.get(lenderHash)?.terms ?? terms;
        loans.set(lenderHash, {terms: mergeTerms(terms, known), expiresAt});
      } else {
        loans.delete(lenderHash);
      }
    },
    release: lenderHash => {
      loans.delete(lenderHash);
    },
    has: (lenderHash, serverId, now) => {
      const loan = loans.get(lenderHash);
      return (
        loan !== undefined &&
        now < loan.expiresAt &&
        isLent(loan.terms, serverId, getSelfHash())
      );
    },
  };
}
