/**
 * Decides whether an instance publishes the load of its group. The first in rank
 * does; each further one takes over after one more period in which it heard no
 * totals of an instance before it. Two publishers at a time are harmless: the sum
 * of a group replaces the earlier one.
 */
import {rankPublishers} from '@buckthornbeam/membership';

/** Options of {@link createPublisherRole}. */
export interface PublisherRoleOptions {
  selfId: string;
  /** Time without totals after which the next in rank takes over, in ms. */
  takeOverMs?: number;
  /** Time without a report after which a publisher steps down, in ms. */
  unheardMs?: number;
  /**
   * Time in which reports are collected before another publisher of the group is
   * replaced, and after a suspension, in ms.
   */
  warmUpMs?: number;
}

/** Live instances of the own group that may publish; `now` in milliseconds. */
export interface PublisherCandidates {
  groupKey: string;
  candidates: readonly string[];
  now: number;
}

export interface PublisherRole {
  update(candidates: PublisherCandidates): void;
  /** Lists the candidates of the own group, first choice first. */
  listRanked(): string[];
  /** Records totals of another publisher of the group. */
  recordTotals(publisherId: string, now: number): void;
  /** Records a report of an instance of the group. */
  recordReport(now: number): void;
  isPublishing(now: number): boolean;
  /** Result of the last call of `isPublishing`. */
  wasPublishing(): boolean;
  /** Waits for totals again, after a suspension of the process. */
  reset(now: number): void;
}

const DEFAULT_TAKE_OVER_MS = 1200;
const DEFAULT_UNHEARD_MS = 2500;
const DEFAULT_WARM_UP_MS = 1500;

export function createPublisherRole({
  selfId,
  takeOverMs = DEFAULT_TAKE_OVER_MS,
  unheardMs = DEFAULT_UNHEARD_MS,
  warmUpMs = DEFAULT_WARM_UP_MS,
}: PublisherRoleOptions): PublisherRole {
  let ranked: string[] = [selfId];
  /** Candidates of the last update, to keep the ranking until they change. */
  let candidatesKey = '';
  let totalsHeardAt = -Infinity;
  let reportHeardAt = -Infinity;
  /** Since when this instance has its place in the ranking. */
  let placedAt = -Infinity;
  /** When totals of any other publisher of the group were heard. */
  let anyTotalsHeardAt = -Infinity;
  /** Since when this instance belongs to its group. */
  let joinedAt = -Infinity;
  /** Since when the process runs again after a suspension. */
  let resumedAt = -Infinity;
  let lastGroupKey = '';
  let isLastPublishing = false;

  function computePublishing(now: number): boolean {
    const place = ranked.indexOf(selfId);
    if (place < 0) {
      return false;
    }
    if (ranked.length === 1) {
      return true;
    }
    const isReplacing = now - anyTotalsHeardAt < takeOverMs;
    if (
      now - resumedAt < warmUpMs ||
      (isReplacing && now - joinedAt < warmUpMs)
    ) {
      return false;
    }
    // The instance may send but not receive; then the next one is better placed.
    const lastReportAt = Math.max(reportHeardAt, placedAt);
    if (now - lastReportAt > unheardMs) {
      return false;
    }
    const silentMs = now - Math.max(totalsHeardAt, placedAt);
    return silentMs >= place * takeOverMs;
  }

  return {
    update: ({groupKey, candidates, now}) => {
      const key = [groupKey, ...candidates].join('\n');
      if (key === candidatesKey) {
        return;
      }
      candidatesKey = key;
      joinedAt = groupKey === lastGroupKey ? joinedAt : now;
      lastGroupKey = groupKey;
      const place = ranked.indexOf(selfId);
      ranked = rankPublishers(groupKey, candidates);
      if (ranked.indexOf(selfId) !== place) {
        placedAt = now;
      }
    },
    listRanked: () => ranked,
    recordTotals: (publisherId, now) => {
      anyTotalsHeardAt = now;
      const place = ranked.indexOf(publisherId);
      if (place >= 0 && place < ranked.indexOf(selfId)) {
        totalsHeardAt = now;
      }
    },
    recordReport: now => {
      reportHeardAt = now;
    },
    isPublishing: now => {
      isLastPublishing = computePublishing(now);
      return isLastPublishing;
    },
    wasPublishing: () => isLastPublishing,
    reset: now => {
      resumedAt = now;
      totalsHeardAt = now;
      placedAt = now;
    },
  };
}
