/** Hashes: xxHash for placement, SHA-256 for digests. */
import {createHash} from 'node:crypto';
import createXxhash from 'xxhash-wasm';
import {createLazyCache} from './lazy_cache.js';

const xxhash = await createXxhash();

/** Hashes a string to an unsigned 32-bit integer. */
export function hashToUint32(text: string, seed = 0): number {
  return xxhash.h32(text, seed);
}

/** Creates a {@link hashToUint32} that caches up to `maximumTexts` results. */
export function createCachedHash(
  maximumTexts: number,
): (text: string) => number {
  const hashes = createLazyCache<string, number>(maximumTexts);
  return text => {
    let hash = hashes.get(text);
    if (hash === undefined) {
      hash = hashToUint32(text);
      hashes.set(text, hash);
    }
    return hash;
  };
}

/** Computes the SHA-256 digest of a string in lower-case hexadecimal. */
export function computeDigest(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Finds the first candidate of {@link rankByRendezvous} without sorting. */
export function findByRendezvous(
  key: string,
  candidates: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestWeight = -1;
  for (const id of candidates) {
    const weight = computeRendezvousWeight(key, id);
    if (weight > bestWeight || (weight === bestWeight && id < best!)) {
      best = id;
      bestWeight = weight;
    }
  }
  return best;
}

function computeRendezvousWeight(key: string, id: string): number {
  return hashToUint32(`${key}\n${id}`);
}

/** Ranks candidates for a key by rendezvous hashing, best first. */
export function rankByRendezvous(
  key: string,
  candidates: readonly string[],
): string[] {
  return candidates
    .map(id => ({id, weight: computeRendezvousWeight(key, id)}))
    .sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
    .map(entry => entry.id);
}
