/**
 * Which servers hold the shared parts of a prompt in memory. Instances tell
 * each other where a prefix was read for the first time, so that all of them
 * count what a server has yet to read.
 */
import {createKnownHash, hashToUint32} from '@buckthornbeam/shared';
import {LRUCache} from 'lru-cache';

/** One part of a prompt. */
export interface PromptSegment {
  id: string;
  tokens: number;
}

/** A prompt up to the end of one of its parts. */
export interface PromptPrefix {
  hash: number;
  tokens: number;
}

/** Remembers where prompts were read. */
export interface PrefixLocations {
  /** A server is about to read all these prefixes. */
  recordSent(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
    now: number,
  ): void;
  /** A server has read all these prefixes. */
  recordRead(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
    now: number,
  ): void;
  /** Tokens of the prompt that the server holds, or will by its turn. */
  countExpectedTokens(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
    now: number,
  ): number;
  /** Tokens of the prompt that the server is likely to hold by now. */
  countReadTokens(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
    now: number,
  ): number;
  /** Takes the places that the next message passes to peers. */
  takeUpdates(): number[];
  /** Accepts the places of a peer's message; a large fleet passes them on. */
  acceptUpdates(
    places: readonly number[],
    isPassedOn: boolean,
    now: number,
  ): void;
}

/** Places of prefixes that are remembered, over all servers. */
const MAXIMUM_PLACES = 50_000;
/** Servers evict what nobody asks for; after so long nothing is assumed. */
const HELD_MS = 60_000;
/** A place in use is sent again after this time, in milliseconds, for newcomers. */
const REPEAT_UPDATE_MS = 20_000;
/** Messages that carry an own place; more than one, since datagrams are lost. */
const UPDATE_ROUNDS = 2;
/** Messages that pass a place on; others pass it on as well. */
const PASSED_ON_ROUNDS = 1;
/** Places in one message; 4 bytes each, so that it stays in one packet. */
const UPDATES_PER_MESSAGE = 150;
/** Places that wait for a message; the oldest are dropped beyond. */
const MAXIMUM_UPDATES = 3000;
/** Hashes of server keys that are kept. */
const MAXIMUM_SERVERS = 5000;

/** Lists the prefixes of a prompt for a model that end with one of its parts. */
export function listPrefixes(
  parts: readonly PromptSegment[],
  model = '',
): PromptPrefix[] {
  let key = model;
  let tokens = 0;
  return parts.map(part => {
    key += `/${part.id}`;
    tokens += part.tokens;
    return {hash: hashToUint32(key), tokens};
  });
}

/** Odd multipliers of MurmurHash3's finalizer, which spread every bit. */
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;

/** Combines the hashes of a server and a prefix to an unsigned integer. */
function mergeHashes(server: number, prefix: number): number {
  const mixed = Math.imul(server ^ (prefix >>> 15), FIRST_MULTIPLIER) + prefix;
  return Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER) >>> 0;
}

/** Creates an empty memory. */
export function createPrefixLocations(): PrefixLocations {
  /** When a prefix was last sent to a server, by their combined hash. */
  const sentTo = new LRUCache<number, number>({max: MAXIMUM_PLACES});
  /** When it was last read there. */
  const readAt = new LRUCache<number, number>({max: MAXIMUM_PLACES});
  /** When it was last sent to peers. */
  const sentAt = new LRUCache<number, number>({max: MAXIMUM_PLACES});
  const hashServer = createKnownHash(MAXIMUM_SERVERS);
  let updates: Array<{place: number; rounds: number}> = [];

  function listPlaces(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
  ): number[] {
    const server = hashServer(serverKey);
    return prefixes.map(({hash}) => mergeHashes(server, hash));
  }

  function isRecent(
    times: LRUCache<number, number>,
    place: number,
    now: number,
  ): boolean {
    const time = times.get(place);
    return time !== undefined && now - time <= HELD_MS;
  }

  /** Counts tokens up to the first prefix that is not there. */
  function countTokens(
    serverKey: string,
    prefixes: readonly PromptPrefix[],
    isThere: (place: number) => boolean,
  ): number {
    const server = hashServer(serverKey);
    let held = 0;
    for (const {hash, tokens} of prefixes) {
      if (!isThere(mergeHashes(server, hash))) {
        break;
      }
      held = tokens;
    }
    return held;
  }

  function addUpdate(place: number, rounds: number, now: number): void {
    const sent = sentAt.get(place);
    if (sent === undefined || now - sent > REPEAT_UPDATE_MS) {
      sentAt.set(place, now);
      updates.push({place, rounds});
    }
  }

  return {
    recordSent: (serverKey, prefixes, now) => {
      for (const place of listPlaces(serverKey, prefixes)) {
        sentTo.set(place, now);
      }
    },
    recordRead: (serverKey, prefixes, now) => {
      for (const place of listPlaces(serverKey, prefixes)) {
        readAt.set(place, now);
        addUpdate(place, UPDATE_ROUNDS, now);
      }
    },
    countExpectedTokens: (serverKey, prefixes, now) =>
      countTokens(
        serverKey,
        prefixes,
        place => isRecent(readAt, place, now) || isRecent(sentTo, place, now),
      ),
    countReadTokens: (serverKey, prefixes, now) =>
      countTokens(serverKey, prefixes, place => isRecent(readAt, place, now)),
    takeUpdates: () => {
      updates = updates.slice(-MAXIMUM_UPDATES);
      const taken = updates.slice(0, UPDATES_PER_MESSAGE);
      taken.forEach(item => (item.rounds -= 1));
      updates = updates.filter(item => item.rounds > 0);
      return taken.map(item => item.place);
    },
    acceptUpdates: (places, isPassedOn, now) => {
      for (const place of places) {
        readAt.set(place, now);
        if (isPassedOn) {
          addUpdate(place, PASSED_ON_ROUNDS, now);
        } else {
          sentAt.set(place, now);
        }
      }
    },
  };
}
