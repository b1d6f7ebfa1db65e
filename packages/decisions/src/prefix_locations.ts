/** Which servers are likely to hold the shared parts of a prompt in memory. */
import {LRUCache} from 'lru-cache';

/** One part of a prompt. */
export interface PromptSegment {
  id: string;
  tokens: number;
}

/** Remembers where prompts were read. */
export interface PrefixLocations {
  /** A server has read all these parts, in order. */
  record(serverId: string, parts: readonly PromptSegment[], now: number): void;
  /** Tokens of the prompt that the server is likely to hold. */
  countHeldTokens(
    serverId: string,
    parts: readonly PromptSegment[],
    now: number,
  ): number;
  /** The server holds nothing any more. */
  forgetServer(serverId: string): void;
}

/** Prefixes remembered over all servers. */
const MAXIMUM_PREFIXES = 20_000;
/** Servers evict what nobody asks for; after so long nothing is assumed. */
const HELD_MS = 60_000;

function* listPrefixes(
  parts: readonly PromptSegment[],
): Generator<{key: string; tokens: number}> {
  let key = '';
  let tokens = 0;
  for (const part of parts) {
    key += `/${part.id}`;
    tokens += part.tokens;
    yield {key, tokens};
  }
}

/** Creates an empty memory. */
export function createPrefixLocations(): PrefixLocations {
  const seenAt = new LRUCache<string, number>({max: MAXIMUM_PREFIXES});
  /** Part of each key; a server that lost its memory gets a new number. */
  const generations = new Map<string, number>();

  function buildKey(serverId: string, prefix: string): string {
    return `${serverId}#${generations.get(serverId) ?? 0}${prefix}`;
  }

  return {
    record: (serverId, parts, now) => {
      for (const {key} of listPrefixes(parts)) {
        seenAt.set(buildKey(serverId, key), now);
      }
    },
    countHeldTokens: (serverId, parts, now) => {
      let held = 0;
      for (const {key, tokens} of listPrefixes(parts)) {
        const time = seenAt.get(buildKey(serverId, key));
        if (time === undefined || now - time > HELD_MS) {
          break;
        }
        held = tokens;
      }
      return held;
    },
    forgetServer: serverId => {
      generations.set(serverId, (generations.get(serverId) ?? 0) + 1);
    },
  };
}
