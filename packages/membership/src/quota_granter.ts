/**
 * Leases this member's share of each server's concurrency limit to the owner of
 * that server, one owner at a time. Ownership changes in two steps. While
 * `nextCandidates` differs from `currentCandidates`, only servers that have the
 * same owner under both lists are leased. `nextCandidates` replaces
 * `currentCandidates` once every grantee has acknowledged the latest terms or
 * its lease has expired.
 */
import {findCachedOwnerHash, hasSameMembers} from './ownership.js';

/** Lease terms that a granter sends to one grantee. */
export interface LeaseTerms {
  /** Incremented on every change of the candidate lists. */
  version: number;
  /** Whether the receiver may use the share. */
  isGranted: boolean;
  /** Hashes of the members that ownership is computed from. */
  currentCandidates: readonly number[];
  /**
   * Hashes that will replace `currentCandidates`; the same array if there is no
   * change.
   */
  nextCandidates: readonly number[];
}

/** Options of {@link createQuotaGranter}. */
export interface QuotaGranterOptions {
  /**
   * Time after which a lease has expired by the clock of any instance, in
   * milliseconds.
   */
  leaseWaitMs: number;
  /** Monotonic start time of this incarnation, in milliseconds. */
  startedAt: number;
}

/** Lease version that a grantee acknowledges in a heartbeat. */
export interface GranteeAcknowledgement {
  memberHash: number;
  incarnation: string;
  /** Version that the grantee applied last; undefined if none. */
  appliedVersion: number | undefined;
}

/** Leases one member's share to the owners of the servers. */
export interface QuotaGranter {
  /** Sets the hashes of the members that may own servers. */
  setCandidates(hashes: readonly number[]): void;
  recordAcknowledgement(
    acknowledgement: GranteeAcknowledgement,
    now: number,
  ): void;
  /** Applies the next candidates once no grantee can act on older terms. */
  advanceCandidates(now: number): void;
  makeLeaseTerms(memberHash: number, now: number): LeaseTerms;
  /** Whether the share of a server is leased to the given member. */
  isLeasedTo(memberHash: number, serverId: string, now: number): boolean;
}

interface Grantee {
  incarnation: string;
  lastHeartbeatAt: number;
  appliedVersion: number | undefined;
  /** No lease before this time, as an earlier incarnation may hold one. */
  withheldUntil: number;
}

/** Whether a member owns a server under both candidate lists. */
export function isLeased(
  terms: Omit<LeaseTerms, 'version' | 'isGranted'>,
  serverId: string,
  memberHash: number,
): boolean {
  return (
    findCachedOwnerHash(serverId, terms.currentCandidates) === memberHash &&
    (terms.nextCandidates === terms.currentCandidates ||
      findCachedOwnerHash(serverId, terms.nextCandidates) === memberHash)
  );
}

/**
 * Creates a granter. It grants nothing until every lease of an earlier
 * incarnation of this member has expired.
 */
export function createQuotaGranter(options: QuotaGranterOptions): QuotaGranter {
  const {leaseWaitMs, startedAt} = options;
  const earliestGrantAt = startedAt + leaseWaitMs;
  const grantees = new Map<number, Grantee>();
  let currentCandidates: readonly number[] = [];
  let nextCandidates: readonly number[] = [];
  let version = 0;

  /** Whether a grantee can no longer use a share under older terms. */
  function hasReleased(memberHash: number, now: number): boolean {
    const grantee = grantees.get(memberHash);
    if (!grantee) {
      // No lease can have been granted to a member that never sent a heartbeat.
      return true;
    }
    const {lastHeartbeatAt, appliedVersion, withheldUntil} = grantee;
    const hasApplied = appliedVersion === version && now >= withheldUntil;
    return hasApplied || now >= lastHeartbeatAt + leaseWaitMs;
  }

  function isGrantedTo(memberHash: number, now: number): boolean {
    const withheldUntil = grantees.get(memberHash)?.withheldUntil ?? 0;
    return now >= Math.max(earliestGrantAt, withheldUntil);
  }

  return {
    setCandidates: hashes => {
      const sorted = [...hashes].sort((a, b) => a - b);
      if (hasSameMembers(sorted, nextCandidates)) {
        return;
      }
      nextCandidates = hasSameMembers(sorted, currentCandidates)
        ? currentCandidates
        : sorted;
      version += 1;
    },
    recordAcknowledgement: ({memberHash, incarnation, appliedVersion}, now) => {
      const previous = grantees.get(memberHash);
      const isReplaced = previous && previous.incarnation !== incarnation;
      grantees.set(memberHash, {
        incarnation,
        lastHeartbeatAt: now,
        appliedVersion,
        withheldUntil: isReplaced
          ? Math.max(
              previous.lastHeartbeatAt + leaseWaitMs,
              previous.withheldUntil,
            )
          : (previous?.withheldUntil ?? 0),
      });
    },
    advanceCandidates: now => {
      if (currentCandidates === nextCandidates) {
        return;
      }
      if (currentCandidates.every(memberHash => hasReleased(memberHash, now))) {
        currentCandidates = nextCandidates;
        version += 1;
      }
    },
    makeLeaseTerms: (memberHash, now) => ({
      version,
      isGranted: isGrantedTo(memberHash, now),
      currentCandidates,
      nextCandidates,
    }),
    isLeasedTo: (memberHash, serverId, now) =>
      isGrantedTo(memberHash, now) &&
      isLeased({currentCandidates, nextCandidates}, serverId, memberHash),
  };
}
