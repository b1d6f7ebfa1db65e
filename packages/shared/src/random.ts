/** Seeded random numbers. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers. */
export interface RandomSource {
  /** A number in [0, 1). */
  nextFloat(): number;
  /** An integer in [0, bound). */
  nextInt(bound: number): number;
}

const FLOAT_STEPS = 0x7fffffff;

/** The generator's first numbers hardly depend on its seed; they are skipped. */
const SKIPPED_NUMBERS = 32;

/** Creates a random source that gives the same numbers for the same seed. */
export function createRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  for (let skipped = 0; skipped < SKIPPED_NUMBERS; skipped++) {
    generator.next();
  }
  return {
    nextFloat: () => uniformInt(generator, 0, FLOAT_STEPS - 1) / FLOAT_STEPS,
    nextInt: bound => uniformInt(generator, 0, bound - 1),
  };
}

/** Picks one item of a list that is not empty. */
export function pickOne<T>(items: readonly T[], random: RandomSource): T {
  return items[random.nextInt(items.length)]!;
}

/** Picks up to `count` items at random, each at most once. */
export function pickSample<T>(
  items: readonly T[],
  count: number,
  nextFloat: () => number = Math.random,
): T[] {
  const rest = [...items];
  const picked: T[] = [];
  while (rest.length > 0 && picked.length < count) {
    picked.push(...rest.splice(Math.floor(nextFloat() * rest.length), 1));
  }
  return picked;
}
