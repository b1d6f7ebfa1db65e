/** Seeded random numbers. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

export interface RandomSource {
  /** Returns a number in [0, 1). */
  nextFloat(): number;
  /** Returns an integer in [0, bound). */
  nextInt(bound: number): number;
}

const FLOAT_STEPS = 0x7fffffff;

/** The first numbers of the generator hardly depend on its seed. */
const SKIPPED_NUMBERS = 32;

/** Creates a deterministic source: equal seeds give equal numbers. */
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

/** Picks one item of a non-empty list. */
export function pickOne<T>(items: readonly T[], random: RandomSource): T {
  return items[random.nextInt(items.length)]!;
}

/** Picks up to `count` random items without replacement. */
export function pickSample<T>(
  items: readonly T[],
  count: number,
  nextFloat: () => number = Math.random,
): T[] {
  const remaining = [...items];
  const picked: T[] = [];
  while (remaining.length > 0 && picked.length < count) {
    picked.push(
      ...remaining.splice(Math.floor(nextFloat() * remaining.length), 1),
    );
  }
  return picked;
}
