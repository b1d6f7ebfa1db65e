/**
 * Tracks which servers have which prompt prefixes in their cache. Instances
 * exchange the locations of newly prefilled prefixes, so that each can compute
 * how much of a prompt a server still has to prefill.
 *
 * A location is the combined hash of a server and a prefix.
 */
import {createCachedHash, hashToUint32} from '@buckthornbeam/shared';
import {LRUCache} from 'lru-cache';

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
  /** Removes and returns the locations for the next message to peers. */
  takeUpdates(): number[];
  /** Records the locations of a peer's message; a large fleet relays them. */
  acceptUpdates(
    locations: readonly number[],
    isRelayed: boolean,
    now: number,
  ): void;
}

/** Locations kept, over all servers. */
const MAXIMUM_LOCATIONS = 50_000;
/** Time after which an unused prefix is assumed to be evicted by the server. */
const CACHE_ASSUMED_MS = 60_000;
/** Interval at which a location in use is sent again, for new instances. */
const REPEAT_UPDATE_MS = 20_000;
/** Messages that carry a location of this instance; datagrams can be lost. */
const OWN_UPDATE_MESSAGES = 2;
/** Messages that relay a peer's location; other instances relay it as well. */
const RELAYED_UPDATE_MESSAGES = 1;
/**
 * Locations per message; 4 bytes each, so that the message fits in one packet.
 */
const UPDATES_PER_MESSAGE = 150;
/** Locations waiting to be sent; beyond this, the oldest are dropped. */
const MAXIMUM_PENDING_UPDATES = 3000;
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

export function createPrefixLocations(): PrefixLocations {
  /** Time of the last request with the prefix to the server, by location. */
  const sentToServerAt = new LRUCache<number, number>({max: MAXIMUM_LOCATIONS});
  /** Time of the last prefill, by location. */
  const prefilledAt = new LRUCache<number, number>({max: MAXIMUM_LOCATIONS});
  /** Time of the last message to or from peers, by location. */
  const announcedAt = new LRUCache<number, number>({max: MAXIMUM_LOCATIONS});
  const hashServer = createCachedHash(MAXIMUM_SERVERS);
  let pendingUpdates: Array<{location: number; messagesLeft: number}> = [];

  function listLocations(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
  ): number[] {
    const server = hashServer(serverKey);
    return prefixes.map(({hash}) => mergeHashes(server, hash));
  }

  function isRecent(
    timestamps: LRUCache<number, number>,
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

  function addUpdate(
    location: number,
    messagesLeft: number,
    now: number,
  ): void {
    const announced = announcedAt.get(location);
    if (announced === undefined || now - announced > REPEAT_UPDATE_MS) {
      announcedAt.set(location, now);
      pendingUpdates.push({location, messagesLeft});
    }
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
        addUpdate(location, OWN_UPDATE_MESSAGES, now);
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
    takeUpdates: () => {
      pendingUpdates = pendingUpdates.slice(-MAXIMUM_PENDING_UPDATES);
      const taken = pendingUpdates.slice(0, UPDATES_PER_MESSAGE);
      taken.forEach(item => (item.messagesLeft -= 1));
      pendingUpdates = pendingUpdates.filter(item => item.messagesLeft > 0);
      return taken.map(item => item.location);
    },
    acceptUpdates: (locations, isRelayed, now) => {
      for (const location of locations) {
        prefilledAt.set(location, now);
        if (isRelayed) {
          addUpdate(location, RELAYED_UPDATE_MESSAGES, now);
        } else {
          announcedAt.set(location, now);
        }
      }
    },
  };
}
