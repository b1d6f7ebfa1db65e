/** Seeded open-loop arrivals. */
import {createRandom} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';

/** One request that will be sent, whatever happened to those before it. */
export interface Arrival {
  /** Time from the start of the run, in milliseconds. */
  atMs: number;
  className: string;
  customerId: string;
  /** Selects the entry, as a fraction of their number. */
  entryFraction: number;
  prompt: string;
  maximumTokens: number;
}

/** The traffic of one class. */
export interface ClassTraffic {
  className: string;
  model: string;
  /** Offered answer tokens a second. */
  tokensPerSecond: number;
  /** Greatest answer length; stand-in engines use 75 % on average. */
  maximumTokens: number;
}

/** Options of {@link planArrivals}. */
export interface TrafficOptions {
  seed: number;
  seconds: number;
  classes: readonly ClassTraffic[];
  /** Customers, the largest first. */
  customerIds: readonly string[];
}

/** Mean answer length of a stand-in engine as a part of the greatest. */
export const MEAN_ANSWER_FRACTION = 0.75;

/** Draws a customer; the n-th one has the weight 1/n. */
function pickCustomer(ids: readonly string[], random: RandomSource): string {
  const total = ids.reduce((sum, _, index) => sum + 1 / (index + 1), 0);
  let left = random.nextFloat() * total;
  for (const [index, id] of ids.entries()) {
    left -= 1 / (index + 1);
    if (left <= 0) {
      return id;
    }
  }
  return ids.at(-1)!;
}

function planClass(
  options: TrafficOptions,
  traffic: ClassTraffic,
  random: RandomSource,
): Arrival[] {
  const meanTokens = traffic.maximumTokens * MEAN_ANSWER_FRACTION;
  const meanGapMs = (1000 * meanTokens) / traffic.tokensPerSecond;
  const arrivals: Arrival[] = [];
  let atMs = 0;
  for (;;) {
    atMs -= Math.log(1 - random.nextFloat()) * meanGapMs;
    if (atMs >= options.seconds * 1000) {
      return arrivals;
    }
    arrivals.push({
      atMs,
      className: traffic.className,
      customerId: pickCustomer(options.customerIds, random),
      entryFraction: random.nextFloat(),
      prompt: `${traffic.className} ${options.seed} ${arrivals.length}`,
      maximumTokens: traffic.maximumTokens,
    });
  }
}

/** Plans all arrivals of a run, in the order of their time. */
export function planArrivals(options: TrafficOptions): Arrival[] {
  const random = createRandom(options.seed);
  return options.classes
    .flatMap(traffic => planClass(options, traffic, random))
    .sort((a, b) => a.atMs - b.atMs);
}
