/** Which server last worked on a prompt prefix; a hint for placement. */
import {hashToUint32} from '@buckthornbeam/shared';
import {LRUCache} from 'lru-cache';

/** The prompt of a request. */
export interface Prompt {
  model: string;
  /** Text of the first message. */
  text: string;
}

/** A bounded table of prefixes. */
export interface PrefixTable {
  find(prompt: Prompt): string | undefined;
  record(prompt: Prompt, serverId: string): void;
}

const MAXIMUM_PREFIXES = 4096;
/** Characters of a prompt that make its prefix. */
const PREFIX_CHARACTERS = 1024;
/** Shorter prompts gain too little from a prefix cache. */
const MINIMUM_CHARACTERS = 512;

function computeKey({model, text}: Prompt): string | undefined {
  return text.length >= MINIMUM_CHARACTERS
    ? `${model}:${hashToUint32(text.slice(0, PREFIX_CHARACTERS))}`
    : undefined;
}

/** Creates an empty table. */
export function createPrefixTable(): PrefixTable {
  const servers = new LRUCache<string, string>({max: MAXIMUM_PREFIXES});
  return {
    find: prompt => {
      const key = computeKey(prompt);
      return key === undefined ? undefined : servers.get(key);
    },
    record: (prompt, serverId) => {
      const key = computeKey(prompt);
      if (key !== undefined) {
        servers.set(key, serverId);
      }
    },
  };
}
