/**
 * Maps prompt prefixes to the server that last processed them, for placement.
 */
import {hashToUint32} from '@buckthornbeam/shared';
import {LRUCache} from 'lru-cache';

export interface Prompt {
  model: string;
  /** Text of the first message. */
  text: string;
}

/** A table with a bounded number of prefixes. */
export interface PrefixTable {
  find(prompt: Prompt): string | undefined;
  record(prompt: Prompt, serverId: string): void;
}

const MAXIMUM_PREFIXES = 4096;
/** Leading characters of a prompt that identify its prefix. */
const PREFIX_CHARACTERS = 1024;
/**
 * Shorter prompts gain too little from a prefix cache. They are not recorded.
 */
const MINIMUM_CHARACTERS = 512;

function computeKey({model, text}: Prompt): string | undefined {
  return text.length >= MINIMUM_CHARACTERS
    ? `${model}:${hashToUint32(text.slice(0, PREFIX_CHARACTERS))}`
    : undefined;
}

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
