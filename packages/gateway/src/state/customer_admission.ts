/**
 * Divides scarce capacity between customers: refuses requests of a customer that uses
 * more than its share while others of the same rank were refused or had to wait.
 */
import {createCustomerShares} from '@buckthornbeam/decisions';
import type {CustomerShares} from '@buckthornbeam/decisions';
import {hashToUint32} from '@buckthornbeam/shared';
import type {Customer, RequestMetadata, Route} from '../model.js';
import type {ServiceConfiguration} from '../model.js';
import type {RankNews} from '../peers/customer_news.js';
import {createCustomerSums} from './customer_sums.js';
import type {CustomerSums} from './customer_sums.js';
import type {RequestUrgency} from './request_urgency.js';

/** A request whose route and customer are known. */
export interface CustomerRequest {
  route: Route;
  customer: Customer | undefined;
  urgency: RequestUrgency;
  metadata: Pick<RequestMetadata, 'generation'>;
}

/** A request that is refused because of the share of its customer. */
export interface ShareRefusal {
  /** Time after which the customer is within its share, in milliseconds. */
  availableInMs: number;
}

export interface CustomerAdmission {
  /** Counts a request; returns a refusal if its customer is over its share. */
  check(request: CustomerRequest, now: number): ShareRefusal | undefined;
  /** Records that a request was sent to a server. */
  recordService(request: CustomerRequest, now: number): void;
  /** Records that no server could accept a request at once. */
  recordShortage(request: CustomerRequest, now: number): void;
  /** Counts the ranks whose capacity is divided. */
  countScarceRanks(now: number): number;
  /** Sums that are exchanged with other instances. */
  readonly sums: CustomerSums;
}

/** Options of {@link createCustomerAdmission}. */
export interface CustomerAdmissionOptions {
  getConfiguration: () =>
    | Pick<ServiceConfiguration, 'customersByKey'>
    | undefined;
  /**
   * Whether any instance announced a shortage of a service at this urgency; shortages
   * of this instance, and of those that report shares, count in any case.
   */
  isScarce?: (
    serviceName: string,
    now: number,
    urgencyPosition: number,
  ) => boolean;
  /** Returns a number in [0, 1). */
  random?: () => number;
}

/** Time for which capacity counts as scarce after a request was refused or waited. */
const SCARCE_MS = 1000;
/** Requests without a known size count as this many tokens. */
const PLAIN_REQUEST_TOKENS = 1000;
/** Ranks that got no request for this long are removed. */
const UNUSED_RANK_MS = 120_000;

/** Requests of one rank for one service. */
interface Rank {
  hash: number;
  serviceName: string;
  urgencyPosition: number;
  shares: CustomerShares;
  /** When a request was last refused or had to wait, at any instance. */
  scarceAt: number;
  usedAt: number;
}

function countTokens({generation}: CustomerRequest['metadata']): number {
  return generation
    ? generation.promptTokens +
        (generation.expectedOutputTokens ?? generation.maximumOutputTokens)
    : PLAIN_REQUEST_TOKENS;
}

/** Names the service that gets most requests of the route. */
function findServiceName({targets}: Route): string | undefined {
  return [...targets].sort((a, b) => b.weight - a.weight)[0]?.serviceName;
}

const customerCounts = new WeakMap<object, number>();

function countCustomers({
  customersByKey,
}: Pick<ServiceConfiguration, 'customersByKey'>): number {
  if (!customersByKey) {
    return 0;
  }
  let count = customerCounts.get(customersByKey);
  if (count === undefined) {
    count = new Set([...customersByKey.values()].map(({name}) => name)).size;
    customerCounts.set(customersByKey, count);
  }
  return count;
}

export function createCustomerAdmission({
  getConfiguration,
  isScarce = () => false,
  random = Math.random,
}: CustomerAdmissionOptions): CustomerAdmission {
  const ranks = new Map<string, Rank>();
  const sums = createCustomerSums({listOwn});

  function removeUnused(now: number): void {
    for (const [key, {usedAt}] of ranks) {
      if (now - usedAt > UNUSED_RANK_MS) {
        ranks.delete(key);
      }
    }
  }

  /** Returns undefined for requests to which no share applies. */
  function findRank(request: CustomerRequest, now: number): Rank | undefined {
    const configuration = getConfiguration();
    const serviceName = findServiceName(request.route);
    if (
      !request.customer ||
      !configuration ||
      countCustomers(configuration) < 2 ||
      serviceName === undefined
    ) {
      return undefined;
    }
    const urgencyPosition = request.urgency.position;
    const key = `${serviceName}\n${urgencyPosition.toFixed(4)}`;
    let rank = ranks.get(key);
    if (!rank) {
      removeUnused(now);
      rank = {
        hash: hashToUint32(key),
        serviceName,
        urgencyPosition,
        shares: createCustomerShares({random}),
        scarceAt: -Infinity,
        usedAt: now,
      };
      ranks.set(key, rank);
    }
    rank.usedAt = now;
    return rank;
  }

  /** Brings the time of the last shortage up to date with news. */
  function updateScarcity(rank: Rank, now: number): boolean {
    const {serviceName, urgencyPosition} = rank;
    const others = sums.sumOthers(now).get(rank.hash);
    if (others) {
      rank.scarceAt = Math.max(rank.scarceAt, now - others.scarceAgeMs);
    }
    if (isScarce(serviceName, now, urgencyPosition)) {
      rank.scarceAt = now;
    }
    return now - rank.scarceAt < SCARCE_MS;
  }

  function listOwn(now: number): RankNews[] {
    return [...ranks.values()]
      .filter(rank => updateScarcity(rank, now))
      .map(({hash, scarceAt, shares}) => ({
        rankHash: hash,
        scarceAgeMs: now - scarceAt,
        rows: shares.listNews(now),
      }));
  }

  return {
    sums,
    check: (request, now) => {
      const rank = findRank(request, now);
      if (!rank) {
        return undefined;
      }
      const {shares} = rank;
      const customer = request.customer!.name;
      const isRankScarce = updateScarcity(rank, now);
      if (isRankScarce) {
        const others = sums.sumOthers(now).get(rank.hash);
        shares.acceptNews('fleet', others?.rows ?? [], now);
      }
      const tokens = countTokens(request.metadata);
      return shares.canAdmit({customer, tokens, isScarce: isRankScarce, now})
        ? undefined
        : {availableInMs: shares.computeWait(customer, now)};
    },
    recordService: (request, now) => {
      findRank(request, now)?.shares.recordService(
        request.customer!.name,
        countTokens(request.metadata),
        now,
      );
    },
    recordShortage: (request, now) => {
      const rank = findRank(request, now);
      if (rank) {
        rank.scarceAt = now;
      }
    },
    countScarceRanks: now =>
      [...ranks.values()].filter(rank => updateScarcity(rank, now)).length,
  };
}
