import {describe, it} from '@buckthornbeam/testing';
import * as assert from 'uvu/assert';
import {createRandom} from '../src/index.js';

const SEED_COUNT = 2000;

/** Computes the mean over consecutive seeds of the number at index `draw`. */
function computeMean(draw: number): number {
  let sum = 0;
  for (let seed = 1; seed <= SEED_COUNT; seed++) {
    const random = createRandom(seed);
    let value = 0;
    for (let index = 0; index <= draw; index++) {
      value = random.nextFloat();
    }
    sum += value;
  }
  return sum / SEED_COUNT;
}

describe('random source', () => {
  it('gives numbers that depend on the seed from the first draw on', () => {
    for (const draw of [0, 1, 2]) {
      const mean = computeMean(draw);
      assert.ok(Math.abs(mean - 0.5) < 0.05, `draw ${draw}: mean ${mean}`);
    }
  });

  it('gives the same numbers for the same seed', () => {
    const makeNumbers = () => {
      const random = createRandom(7);
      return [random.nextFloat(), random.nextInt(100)];
    };
    assert.equal(makeNumbers(), makeNumbers());
  });
});
