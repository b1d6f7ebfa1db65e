/** Quota leases that other members have granted to this one. */
import {isLeased} from './quota_granter.js';
import type {LeaseTerms} from './quota_granter.js';
import {hasSameMembers} from './ownership.js';

/** Quota leases held by one member. */
export interface QuotaGrantee {
  /** Applies the terms of a granter; they expire at `expiresAt`. */
  apply(granterHash: number, terms: LeaseTerms, expiresAt: number): void;
  /** Drops the lease of a granter. */
  release(granterHash: number): void;
  /** Whether the granter's share of a server may be used at `now`. */
  hasShare(granterHash: number, serverId: string, now: number): boolean;
}

interface Lease {
  terms: LeaseTerms;
  expiresAt: number;
}

/**
 * Keeps the previous candidate arrays if they are equal, because owners are
 * cached by array.
 */
function reuseCandidateLists(
  terms: LeaseTerms,
  previous: LeaseTerms,
): LeaseTerms {
  const {currentCandidates: current, nextCandidates: next} = previous;
  const isSame =
    hasSameMembers(terms.currentCandidates, current) &&
    hasSameMembers(terms.nextCandidates, next);
  return isSame
    ? {...terms, currentCandidates: current, nextCandidates: next}
    : terms;
}

export function createQuotaGrantee(getSelfHash: () => number): QuotaGrantee {
  const leases = new Map<number, Lease>();
  return {
    apply: (granterHash, terms, expiresAt) => {
      if (terms.isGranted) {
        const previous = leases.get(granterHash)?.terms ?? terms;
        leases.set(granterHash, {
          terms: reuseCandidateLists(terms, previous),
          expiresAt,
        });
      } else {
        leases.delete(granterHash);
      }
    },
    release: granterHash => {
      leases.delete(granterHash);
    },
    hasShare: (granterHash, serverId, now) => {
      const lease = leases.get(granterHash);
      return (
        lease !== undefined &&
        now < lease.expiresAt &&
        isLeased(lease.terms, serverId, getSelfHash())
      );
    },
  };
}
