/** Plans reproducible open-loop traffic with Poisson arrivals. */
import {createRandom} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';

/** One request; open loop: it is sent at its time even if others are still open. */
export interface Arrival {
  /** Time from the start of the run, in milliseconds. */
  atMs: number;
  className: string;
  customerId: string;
  /** Selects the entry: index divided by the number of entries, from 0 to below 1. */
  entryFraction: number;
  prompt: string;
  maximumTokens: number;
}

export interface ClassTraffic {
  className: string;
  model: string;
  /** Offered load in answer tokens per second. */
  tokensPerSecond: number;
  /** Maximum answer length; stand-in engines generate 75 % of it on average. */
  maximumTokens: number;
}

/** Options of {@link planArrivals}. */
export interface TrafficOptions {
  seed: number;
  seconds: number;
  classes: readonly ClassTraffic[];
  /** The largest customer first: the n-th one sends in proportion to 1/n. */
  customerIds: readonly string[];
}

/** Mean answer length of a stand-in engine, as a ratio of the maximum. */
export const MEAN_ANSWER_RATIO = 0.75;

/** Draws a customer from a Zipf distribution: the n-th one has weight 1/n. */
function pickCustomer(ids: readonly string[], random: RandomSource): string {
  const total = ids.reduce((sum, _, index) => sum + 1 / (index + 1), 0);
  let remaining = random.nextFloat() * total;
  for (const [index, id] of ids.entries()) {
    remaining -= 1 / (index + 1);
    if (remaining <= 0) {
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
  const meanTokens = traffic.maximumTokens * MEAN_ANSWER_RATIO;
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

/** Plans all arrivals of a run, ordered by time. */
export function planArrivals(options: TrafficOptions): Arrival[] {
  const random = createRandom(options.seed);
  return options.classes
    .flatMap(traffic => planClass(options, traffic, random))
    .sort((a, b) => a.atMs - b.atMs);
}
