/** Instances that divide the capacity of a service by sums of the fleet, on simulated time. */
import {createRandom, hashToUint32} from '@buckthornbeam/shared';
import {addCustomerRows, createCustomerShares} from '../../src/index.js';
import type {CustomerRow, CustomerShares} from '../../src/index.js';

/** Prompt and output tokens of the classes, with their ratios of the requests. */
export const CLASSES = {
  long: {tokens: 17_300, ratio: 0.39},
  notes: {tokens: 9400, ratio: 0.13},
  short: {tokens: 1600, ratio: 0.48},
} as const;
export type ClassName = keyof typeof CLASSES;

export interface ShareFleetOptions {
  instances?: number;
  /** Sums reach others in the first round of 250 ms after this time; Infinity without news. */
  newsAgeMs?: number;
  /** Usual load of all customers, as a ratio of the capacity. */
  usualRatio?: number;
  /** Multiplies the usual rate during the load. */
  computeFactor: (customer: number, className: ClassName) => number;
  /** Whether a customer retries at once what was refused during the load. */
  isImpatient?: (customer: number) => boolean;
  createShares?: (random: () => number) => CustomerShares;
}

export interface Tally {
  asked: number;
  served: number;
}

export interface FleetResult {
  /** Ratio of the requests served under the load to the ratio before, by customer. */
  kept: number[];
  /** Requests under the load, by customer and by class. */
  customers: Tally[];
  classes: Record<ClassName, Tally>;
  /** Ratio of the capacity that was used under the load. */
  used: number;
}

/** Customers of the page; the first ones are large. */
export const CUSTOMERS = 24;
export const LARGE_CUSTOMERS = 3;
const LARGE_RATIO = 0.13;
const REQUESTS_PER_S = 250;
const TICK_MS = 10;
const LOAD_AT_MS = 15_000;
/** The load is measured from here, when it has lasted some windows of the sums. */
const MEASURED_AT_MS = 18_000;
const END_MS = 38_000;
const DEADLINE_MS = 8000;
/** Servers take this much work ahead. */
const BACKLOG_MS = 250;
const SCARCE_MS = 1000;
const IMPATIENT_MS = 30;

export function computeRate(served: Tally): number {
  return served.served / Math.max(1, served.asked);
}

function getShareOfLoad(customer: number): number {
  return customer < LARGE_CUSTOMERS
    ? LARGE_RATIO
    : (1 - LARGE_CUSTOMERS * LARGE_RATIO) / (CUSTOMERS - LARGE_CUSTOMERS);
}

interface Request {
  customer: number;
  className: ClassName;
  endsAt: number;
  tally: Tally[];
}

export function runShareFleet(options: ShareFleetOptions): FleetResult {
  const {instances = 8, newsAgeMs = 300, usualRatio = 0.9} = options;
  const {isImpatient = () => false} = options;
  const source = createRandom(7);
  const nextFloat = () => source.nextFloat();
  const fleet = Array.from(
    {length: instances},
    () =>
      options.createShares?.(nextFloat) ??
      createCustomerShares({random: nextFloat}),
  );
  const names = Object.keys(CLASSES) as ClassName[];
  const capacity =
    (REQUESTS_PER_S / usualRatio) *
    names.reduce((sum, n) => sum + CLASSES[n].tokens * CLASSES[n].ratio, 0);
  const createTallies = () =>
    Array.from({length: CUSTOMERS}, (): Tally => ({asked: 0, served: 0}));
  const before = createTallies();
  const during = createTallies();
  const classes = Object.fromEntries(
    names.map(name => [name, {asked: 0, served: 0}]),
  ) as Record<ClassName, Tally>;
  const waiting = new Map<number, Request[]>();
  const published: Array<{at: number; rows: CustomerRow[][]}> = [];
  let backlog = 0;
  let servedTokens = 0;
  let scarceAt = -Infinity;

  function countArrivals(mean: number): number {
    let left = Math.exp(-mean);
    let count = 0;
    for (let point = nextFloat(); point > left; count += 1) {
      point -= left;
      left *= mean / (count + 1);
    }
    return count;
  }

  function serve(request: Request, now: number): void {
    const {customer, className, endsAt} = request;
    const shares = fleet[Math.floor(nextFloat() * instances)]!;
    const {tokens} = CLASSES[className];
    const name = `customer ${customer}`;
    const isScarce = now - scarceAt < SCARCE_MS;
    let waitMs = 300;
    if (shares.canAdmit({customer: name, tokens, isScarce, now})) {
      if (backlog + tokens <= (capacity * BACKLOG_MS) / 1000) {
        backlog += tokens;
        servedTokens += now >= MEASURED_AT_MS ? tokens : 0;
        shares.recordService(name, tokens, now);
        request.tally.forEach(tally => (tally.served += 1));
        return;
      }
      scarceAt = now;
    } else {
      waitMs = Math.max(100, shares.computeWait(name, now));
    }
    const isHurried = now >= LOAD_AT_MS && isImpatient(customer);
    const longestMs = (endsAt - now) * 0.33;
    const delayMs = isHurried
      ? IMPATIENT_MS
      : Math.min(longestMs, waitMs) * (0.6 + 0.4 * nextFloat());
    const at = now + Math.max(TICK_MS, Math.round(delayMs / 10) * 10);
    if (at < endsAt - DEADLINE_MS / 8) {
      waiting.set(at, [...(waiting.get(at) ?? []), request]);
    }
  }

  function publishNews(now: number): void {
    const isScarce = now - scarceAt < SCARCE_MS;
    published.push({
      at: now,
      rows: fleet.map(shares => (isScarce ? shares.listNews(now) : [])),
    });
    while (published.length > 0 && now - published[0]!.at >= newsAgeMs) {
      const {rows} = published.shift()!;
      const totals = new Map<number, CustomerRow>();
      rows.forEach(own => addCustomerRows(totals, own));
      fleet.forEach((shares, index) => {
        const others = new Map(totals);
        addCustomerRows(others, rows[index]!, -1);
        shares.acceptNews('fleet', [...others.values()], now);
      });
    }
  }

  for (let now = 0; now < END_MS; now += TICK_MS) {
    backlog = Math.max(0, backlog - (capacity * TICK_MS) / 1000);
    if (now % 250 === 0) {
      publishNews(now);
    }
    const requests = waiting.get(now) ?? [];
    waiting.delete(now);
    for (let customer = 0; customer < CUSTOMERS; customer++) {
      for (const className of names) {
        const factor =
          now >= LOAD_AT_MS ? options.computeFactor(customer, className) : 1;
        const mean =
          (REQUESTS_PER_S * CLASSES[className].ratio * TICK_MS) / 1000;
        const count = countArrivals(mean * getShareOfLoad(customer) * factor);
        const isMeasured = now >= MEASURED_AT_MS && now < END_MS - DEADLINE_MS;
        const tally = isMeasured
          ? [during[customer]!, classes[className]]
          : now < LOAD_AT_MS - DEADLINE_MS
            ? [before[customer]!]
            : [];
        for (let index = 0; index < count; index++) {
          tally.forEach(item => (item.asked += 1));
          requests.push({
            customer,
            className,
            endsAt: now + DEADLINE_MS,
            tally,
          });
        }
      }
    }
    requests.forEach(request => serve(request, now));
  }
  return {
    kept: during.map(
      (tally, index) => computeRate(tally) / computeRate(before[index]!),
    ),
    customers: during,
    classes,
    used: (servedTokens * 1000) / (END_MS - MEASURED_AT_MS) / capacity,
  };
}

/** Same hash as the shares use, to write news in tests. */
export function hashName(customer: string): number {
  return hashToUint32(customer);
}
