/**
 * Fair shares of scarce capacity between the customers of one rank, by sums of the
 * tokens that they asked for and got in the whole fleet.
 *
 * A request is admitted with the ratio of the customer's share to what the customer
 * asks for. The ratio changes slowly, so that sums that are some hundred ms old do
 * not make all instances open and close at the same time, and it does not depend on
 * the size of the request.
 */
import {createCachedHash} from '@buckthornbeam/shared';
import {computeShare, computeShareLevel} from './share_level.js';
import type {CustomerDemand, ShareLevel} from './share_level.js';

/** Tokens per second of one customer at one instance, or at several. */
export interface CustomerRow extends CustomerDemand {
  /** Hash of the customer's name. */
  customerHash: number;
}

/** Options of {@link createCustomerShares}. */
export interface CustomerSharesOptions {
  /** Returns a number in [0, 1). */
  random?: () => number;
}

/** A request that asks for capacity. */
export interface ShareRequest {
  customer: string;
  /** Prompt tokens and expected output tokens. */
  tokens: number;
  /** Whether requests of the rank were refused or had to wait just now. */
  isScarce: boolean;
  /** Local time in milliseconds. */
  now: number;
}

export interface CustomerShares {
  /** Counts the request as asked for; false if its customer is over its share. */
  canAdmit(request: ShareRequest): boolean;
  /** Records that a request was sent to a server. */
  recordService(customer: string, tokens: number, now: number): void;
  /**
   * Replaces the rows of another instance, or of several instances together. Without
   * news the instance divides what it sees itself.
   */
  acceptNews(
    instanceId: string,
    news: readonly CustomerRow[],
    now: number,
  ): void;
  /** Lists what customers asked for and got at this instance, the largest first. */
  listNews(now: number): CustomerRow[];
  /**
   * Computes the time after which a customer is within its share again if it sends
   * nothing, in milliseconds.
   */
  computeWait(customer: string, now: number): number;
}

/** Time constant of the sums; at 3 s, small customers at their usual load were refused. */
const WINDOW_MS = 5000;
/** Time constant of the usual load. */
const USUAL_WINDOW_MS = 60_000;
/** The usual load is averaged over no less, so that one request is no load. */
const MINIMUM_USUAL_MS = 5000;
/**
 * The usual load is not observed for this time after a shortage, in which customers
 * still send more than usual or retry.
 */
const SETTLING_MS = 10_000;
/** News of an instance are used for this time. */
const NEWS_LIFETIME_MS = 1500;
/** Time for which a division is used again. */
const DIVISION_CACHE_MS = 25;
/** Customers below this are left out of the division. */
const MINIMUM_TOKENS_PER_SECOND = 0.5;
const MAXIMUM_HASHES = 5000;
const MS_PER_SECOND = 1000;

interface Account {
  /** Tokens with exponential decay. */
  offeredTokens: number;
  servedTokens: number;
  decayedAt: number;
  /** Tokens asked for while capacity was not scarce, with a slower decay. */
  usualTokens: number;
  /** Position on the clock of the usual load at which it was decayed. */
  usualAt: number;
}

/** Division of the capacity at a time. */
interface Division {
  at: number;
  sums: ReadonlyMap<number, CustomerRow>;
  level: ShareLevel;
}

interface TimedNews {
  rows: readonly CustomerRow[];
  at: number;
}

/** Adds rows to sums by customer. */
export function addCustomerRows(
  sums: Map<number, CustomerRow>,
  rows: readonly CustomerRow[],
  sign: 1 | -1 = 1,
): void {
  for (const {customerHash, offered, served, usual} of rows) {
    const sum = sums.get(customerHash);
    sums.set(customerHash, {
      customerHash,
      offered: Math.max(0, (sum?.offered ?? 0) + sign * offered),
      served: Math.max(0, (sum?.served ?? 0) + sign * served),
      usual: Math.max(0, (sum?.usual ?? 0) + sign * usual),
    });
  }
}

export function createCustomerShares({
  random = Math.random,
}: CustomerSharesOptions = {}): CustomerShares {
  const accounts = new Map<number, Account>();
  const received = new Map<string, TimedNews>();
  const hashCustomer = createCachedHash(MAXIMUM_HASHES);
  /** Time for which the usual load was observed, which stands still in shortages. */
  let usualMs = 0;
  let observedAt: number | undefined;
  let scarceAt = -Infinity;
  let division: Division = {
    at: -Infinity,
    sums: new Map(),
    level: computeShareLevel([]),
  };

  /** Advances the clock of the usual load; false while it stands still. */
  function advanceUsual(now: number): boolean {
    const isObserving = now - scarceAt >= SETTLING_MS;
    if (isObserving) {
      usualMs += Math.max(0, now - (observedAt ?? now));
    }
    observedAt = now;
    return isObserving;
  }

  function getAccount(customerHash: number, now: number): Account {
    let account = accounts.get(customerHash);
    if (!account) {
      account = {
        offeredTokens: 0,
        servedTokens: 0,
        decayedAt: now,
        usualTokens: 0,
        usualAt: usualMs,
      };
      accounts.set(customerHash, account);
    }
    const decay = Math.exp(-Math.max(0, now - account.decayedAt) / WINDOW_MS);
    account.offeredTokens *= decay;
    account.servedTokens *= decay;
    account.decayedAt = now;
    account.usualTokens *= Math.exp(
      (account.usualAt - usualMs) / USUAL_WINDOW_MS,
    );
    account.usualAt = usualMs;
    return account;
  }

  function listNews(now: number): CustomerRow[] {
    advanceUsual(now);
    const averagedMs =
      USUAL_WINDOW_MS *
      -Math.expm1(-Math.max(MINIMUM_USUAL_MS, usualMs) / USUAL_WINDOW_MS);
    return [...accounts.keys()]
      .map(customerHash => {
        const account = getAccount(customerHash, now);
        return {
          customerHash,
          offered: (account.offeredTokens * MS_PER_SECOND) / WINDOW_MS,
          served: (account.servedTokens * MS_PER_SECOND) / WINDOW_MS,
          usual: (account.usualTokens * MS_PER_SECOND) / averagedMs,
        };
      })
      .filter(row => {
        const isUsed =
          row.offered + row.served + row.usual > MINIMUM_TOKENS_PER_SECOND;
        if (!isUsed) {
          accounts.delete(row.customerHash);
        }
        return isUsed;
      })
      .sort((a, b) => b.offered - a.offered);
  }

  /** Divides the capacity by the sums of the fleet; cached for a short time. */
  function computeDivision(now: number): Division {
    if (now < division.at || now - division.at >= DIVISION_CACHE_MS) {
      const sums = sumRows(now);
      const demands = [...sums.values()].filter(
        ({offered}) => offered > MINIMUM_TOKENS_PER_SECOND,
      );
      division = {at: now, sums, level: computeShareLevel(demands)};
    }
    return division;
  }

  function sumRows(now: number): Map<number, CustomerRow> {
    const sums = new Map<number, CustomerRow>();
    addCustomerRows(sums, listNews(now));
    for (const [instanceId, {rows, at}] of received) {
      if (now - at > NEWS_LIFETIME_MS) {
        received.delete(instanceId);
      } else {
        addCustomerRows(sums, rows);
      }
    }
    return sums;
  }

  function computeShareOf(
    customer: string,
    now: number,
  ): {offered: number; share: number} {
    const {sums, level} = computeDivision(now);
    const row = sums.get(hashCustomer(customer));
    return row
      ? {offered: row.offered, share: computeShare(row, level)}
      : {offered: 0, share: Infinity};
  }

  return {
    canAdmit: ({customer, tokens, isScarce, now}) => {
      if (isScarce) {
        scarceAt = now;
      }
      const isObserving = advanceUsual(now);
      const account = getAccount(hashCustomer(customer), now);
      account.offeredTokens += tokens;
      if (isObserving) {
        account.usualTokens += tokens;
      }
      if (!isScarce) {
        return true;
      }
      const {offered, share} = computeShareOf(customer, now);
      return offered <= share || random() * offered < share;
    },
    recordService: (customer, tokens, now) => {
      getAccount(hashCustomer(customer), now).servedTokens += tokens;
    },
    acceptNews: (instanceId, rows, now) => {
      received.set(instanceId, {rows, at: now});
      division = {...division, at: -Infinity};
    },
    listNews,
    computeWait: (customer, now) => {
      const {offered, share} = computeShareOf(customer, now);
      return offered > share && share > 0
        ? WINDOW_MS * Math.log(offered / share)
        : 0;
    },
  };
}
