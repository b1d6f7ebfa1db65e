/** An LRU cache whose storage is allocated with its first entry. */
import {LRUCache} from 'lru-cache';

export interface LazyCache<Key extends {}, Value extends {}> {
  get(key: Key): Value | undefined;
  set(key: Key, value: Value): void;
}

/**
 * Creates a cache of up to `maximumEntries`. An `LRUCache` allocates all of its entries
 * when it is constructed; with 50,000 that is a noticeable part of the processor time
 * of a start.
 */
export function createLazyCache<Key extends {}, Value extends {}>(
  maximumEntries: number,
): LazyCache<Key, Value> {
  let cache: LRUCache<Key, Value> | undefined;
  return {
    get: key => cache?.get(key),
    set: (key, value) => {
      cache ??= new LRUCache({max: maximumEntries});
      cache.set(key, value);
    },
  };
}
