/**
 * Tracks which servers have which prompt prefixes in their cache. Instances
 * exchange the locations of newly prefilled prefixes, so that each can compute
 * how much of a prompt a server still has to prefill.
 *
 * A location is the combined hash of a server and a prefix.
 */
import {
  createCachedHash,
  createLazyCache,
  hashToUint32,
} from '@buckthornbeam/shared';
import type {LazyCache} from '@buckthornbeam/shared';
import {createUpdateQueue} from './update_queue.js';

/** A block of a prompt; prefixes end at block boundaries. */
export interface PromptBlock {
  id: string;
  tokens: number;
}

/** A prompt up to the end of one of its blocks. */
export interface PromptPrefix {
  hash: number;
  /** Length of the whole prefix. */
  tokens: number;
}

/** Locations of prefixes; times are monotonic, in milliseconds. */
export interface PrefixLocations {
  /** Records that a prompt with these prefixes was sent to a server. */
  recordSent(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
    now: number,
  ): void;
  /** Records that a server has finished the prefill of these prefixes. */
  recordPrefilled(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
    now: number,
  ): void;
  /**
   * Counts the leading tokens of the prompt that are cached, or will be by the
   * time the prompt is prefilled.
   */
  countExpectedTokens(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
    now: number,
  ): number;
  /** Counts the leading tokens whose prefill has finished. */
  countPrefilledTokens(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
    now: number,
  ): number;
  /** Returns the own locations for the next message to peers. */
  takeUpdates(): number[];
  /**
   * Records the locations of a peer's message; returns those that were not
   * announced recently, for relaying.
   */
  acceptUpdates(locations: readonly number[], now: number): number[];
}

/** Options of {@link createPrefixLocations}. */
export interface PrefixLocationsOptions {
  /** Locations kept, over all servers. */
  maximumLocations?: number;
}

const DEFAULT_MAXIMUM_LOCATIONS = 50_000;
/** Time after which an unused prefix is assumed to be evicted by the server. */
const CACHE_ASSUMED_MS = 60_000;
/** Interval at which a location in use is sent again, for new instances. */
const REPEAT_UPDATE_MS = 20_000;
/**
 * A location that was announced before this is relayed again; shorter than the
 * interval of the sender, whose repeated update must pass.
 */
const RELAY_AGAIN_MS = REPEAT_UPDATE_MS / 2;
/**
 * Locations per message; 4 bytes each, so that the message fits in one packet.
 */
export const LOCATIONS_PER_MESSAGE = 150;
/** Server key hashes kept in the cache. */
const MAXIMUM_SERVERS = 5000;

/**
 * Lists the prefixes of a prompt that end at a block boundary, shortest
 * first.
 */
export function listPrefixes(
  blocks: readonly PromptBlock[],
  model = '',
): PromptPrefix[] {
  let key = model;
  let tokens = 0;
  return blocks.map(block => {
    key += `/${block.id}`;
    tokens += block.tokens;
    return {hash: hashToUint32(key), tokens};
  });
}

/**
 * Odd multipliers of the MurmurHash3 finalizer, for an even bit distribution.
 */
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;

/**
 * Combines the hashes of a server and a prefix into an unsigned 32-bit integer.
 */
function mergeHashes(server: number, prefix: number): number {
  const mixed = Math.imul(server ^ (prefix >>> 15), FIRST_MULTIPLIER) + prefix;
  return Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER) >>> 0;
}

export function createPrefixLocations({
  maximumLocations = DEFAULT_MAXIMUM_LOCATIONS,
}: PrefixLocationsOptions = {}): PrefixLocations {
  /** Time of the last request with the prefix to the server, by location. */
  const sentToServerAt = createLazyCache<number, number>(maximumLocations);
  /** Time of the last prefill, by location. */
  const prefilledAt = createLazyCache<number, number>(maximumLocations);
  /** Time of the last message to or from peers, by location. */
  const announcedAt = createLazyCache<number, number>(maximumLocations);
  const hashServer = createCachedHash(MAXIMUM_SERVERS);
  const ownUpdates = createUpdateQueue<number>({
    maximumTaken: LOCATIONS_PER_MESSAGE,
  });

  function listLocations(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
  ): number[] {
    const server = hashServer(serverKey);
    return prefixes.map(({hash}) => mergeHashes(server, hash));
  }

  function isRecent(
    timestamps: LazyCache<number, number>,
    location: number,
    now: number,
  ): boolean {
    const time = timestamps.get(location);
    return time !== undefined && now - time <= CACHE_ASSUMED_MS;
  }

  /** Counts tokens up to the first prefix that is not cached. */
  function countTokens(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
    isCached: (location: number) => boolean,
  ): number {
    const server = hashServer(serverKey);
    let cachedTokens = 0;
    for (const {hash, tokens} of prefixes) {
      if (!isCached(mergeHashes(server, hash))) {
        break;
      }
      cachedTokens = tokens;
    }
    return cachedTokens;
  }

  /** Marks a location as announced; returns whether it was not for `sinceMs`. */
  function markAnnounced(
    location: number,
    sinceMs: number,
    now: number,
  ): boolean {
    const announced = announcedAt.get(location);
    if (announced !== undefined && now - announced <= sinceMs) {
      return false;
    }
    announcedAt.set(location, now);
    return true;
  }

  return {
    recordSent: (serverKey, prefixes, now) => {
      for (const location of listLocations(serverKey, prefixes)) {
        sentToServerAt.set(location, now);
      }
    },
    recordPrefilled: (serverKey, prefixes, now) => {
      for (const location of listLocations(serverKey, prefixes)) {
        prefilledAt.set(location, now);
        if (markAnnounced(location, REPEAT_UPDATE_MS, now)) {
          ownUpdates.add([location]);
        }
      }
    },
    countExpectedTokens: (serverKey, prefixes, now) =>
      countTokens(
        serverKey,
        prefixes,
        location =>
          isRecent(prefilledAt, location, now) ||
          isRecent(sentToServerAt, location, now),
      ),
    countPrefilledTokens: (serverKey, prefixes, now) =>
      countTokens(serverKey, prefixes, location =>
        isRecent(prefilledAt, location, now),
      ),
    takeUpdates: () => ownUpdates.take(),
    acceptUpdates: (locations, now) =>
      locations.filter(location => {
        prefilledAt.set(location, now);
        return markAnnounced(location, RELAY_AGAIN_MS, now);
      }),
  };
}
