/**
 * Sums over the fleet of what customers asked for and got: from reports of the own
 * group, from sums of the other groups, or from the totals of a publisher, in the same
 * way as the loads of servers (server_loads.ts).
 */
import {addCustomerRows} from '@buckthornbeam/decisions';
import type {CustomerRow} from '@buckthornbeam/decisions';
import type {RankNews} from '../peers/customer_news.js';

/** Sums of the other instances, by rank; `now` is the local time in milliseconds. */
export interface CustomerSums {
  buildReport(now: number): RankNews[];
  buildGroupSum(now: number): RankNews[];
  buildTotals(now: number): RankNews[];
  receiveReport(
    instanceId: string,
    news: readonly RankNews[],
    now: number,
  ): void;
  receiveGroupSum(
    groupKey: string,
    news: readonly RankNews[],
    now: number,
  ): void;
  /** Accepts totals, which replace reports and sums until they expire. */
  receiveTotals(news: readonly RankNews[], now: number): void;
  /** Uses the reports and sums again, once this instance publishes itself. */
  dropTotals(): void;
  clearReceived(): void;
  /** Sums the rows of the other instances, by the hash of the rank. */
  sumOthers(now: number): ReadonlyMap<number, RankNews>;
}

/** Options of {@link createCustomerSums}. */
export interface CustomerSumsOptions {
  /** Lists the scarce ranks of this instance. */
  listOwn: (now: number) => RankNews[];
}

/** Age at which received news are dropped. */
const NEWS_LIFETIME_MS = 1500;
/** An own report that was sent less long ago is not in the totals yet. */
const REPORT_TRANSIT_MS = 20;
/** Time for which sums are cached unless news arrive. */
const SUM_CACHE_MS = 25;

interface TimedNews {
  news: readonly RankNews[];
  at: number;
}

interface RankSum {
  scarceAgeMs: number;
  rows: Map<number, CustomerRow>;
}

type RankSums = Map<number, RankSum>;

function addNews(
  sums: RankSums,
  {news, at}: TimedNews,
  now: number,
  sign: 1 | -1 = 1,
): void {
  for (const {rankHash, scarceAgeMs, rows} of news) {
    const ageMs = scarceAgeMs + now - at;
    const sum = sums.get(rankHash) ?? {scarceAgeMs: Infinity, rows: new Map()};
    if (sign === 1) {
      sum.scarceAgeMs = Math.min(sum.scarceAgeMs, ageMs);
    }
    addCustomerRows(sum.rows, rows, sign);
    sums.set(rankHash, sum);
  }
}

function listRanks(sums: RankSums): RankNews[] {
  return [...sums].map(([rankHash, {scarceAgeMs, rows}]) => ({
    rankHash,
    scarceAgeMs,
    rows: [...rows.values()],
  }));
}

export function createCustomerSums({
  listOwn,
}: CustomerSumsOptions): CustomerSums {
  const memberNews = new Map<string, TimedNews>();
  const groupNews = new Map<string, TimedNews>();
  let totals: (TimedNews & {ownNews: readonly RankNews[]}) | undefined;
  /** The last reports that were sent, newest first. */
  let sentReports: TimedNews[] = [];
  let cached = new Map<number, RankNews>();
  let cachedAt = -Infinity;

  function addFresh(
    sums: RankSums,
    received: Map<string, TimedNews>,
    now: number,
  ): void {
    for (const [key, item] of received) {
      if (now - item.at > NEWS_LIFETIME_MS) {
        received.delete(key);
      } else {
        addNews(sums, item, now);
      }
    }
  }

  function sumReceived(now: number): RankSums {
    const sums: RankSums = new Map();
    if (totals && now - totals.at <= NEWS_LIFETIME_MS) {
      addNews(sums, totals, now);
      addNews(sums, {news: totals.ownNews, at: now}, now, -1);
      return sums;
    }
    totals = undefined;
    addFresh(sums, memberNews, now);
    addFresh(sums, groupNews, now);
    return sums;
  }

  function resetCache(): void {
    cachedAt = -Infinity;
  }

  function acceptNews(
    received: Map<string, TimedNews>,
    key: string,
    news: readonly RankNews[],
    now: number,
  ): void {
    received.set(key, {news, at: now});
    resetCache();
  }

  return {
    buildReport: now => {
      const news = listOwn(now);
      sentReports = [{news, at: now}, ...sentReports].slice(0, 2);
      return news;
    },
    buildGroupSum: now => {
      const sums: RankSums = new Map();
      addNews(sums, {news: listOwn(now), at: now}, now);
      addFresh(sums, memberNews, now);
      return listRanks(sums);
    },
    buildTotals: now => {
      const sums: RankSums = new Map();
      addNews(sums, {news: listOwn(now), at: now}, now);
      addFresh(sums, memberNews, now);
      addFresh(sums, groupNews, now);
      return listRanks(sums);
    },
    receiveReport: (instanceId, news, now) =>
      acceptNews(memberNews, instanceId, news, now),
    receiveGroupSum: (groupKey, news, now) =>
      acceptNews(groupNews, groupKey, news, now),
    receiveTotals: (news, now) => {
      const included = sentReports.find(
        ({at}) => now - at >= REPORT_TRANSIT_MS && now - at <= NEWS_LIFETIME_MS,
      );
      totals = {news, at: now, ownNews: included?.news ?? []};
      resetCache();
    },
    dropTotals: () => {
      totals = undefined;
      resetCache();
    },
    clearReceived: () => {
      memberNews.clear();
      groupNews.clear();
      totals = undefined;
      resetCache();
    },
    sumOthers: now => {
      if (now < cachedAt || now - cachedAt >= SUM_CACHE_MS) {
        cachedAt = now;
        cached = new Map(
          listRanks(sumReceived(now)).map(rank => [rank.rankHash, rank]),
        );
      }
      return cached;
    },
  };
}
