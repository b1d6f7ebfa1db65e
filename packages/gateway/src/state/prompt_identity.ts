/** Identifies prompts by hashes of their blocks. */
import type {PromptIdentity} from '@buckthornbeam/decisions';
import {createCachedHash, hashToUint32} from '@buckthornbeam/shared';
import type {BackendServer, Customer, RequestMetadata} from '../model.js';

/** Hashes of block ids that are kept. */
const MAXIMUM_HASHES = 5000;
/** Blocks of a prompt that are considered; the leading ones are left out. */
const MAXIMUM_BLOCKS = 64;

const hashBlock = createCachedHash(MAXIMUM_HASHES);

/**
 * Builds the identity of a prompt; undefined for a request that generates no text
 * or whose prompt has a single block, which no other request shares.
 */
export function buildPromptIdentity(
  {generation}: RequestMetadata,
  customer: Customer | undefined,
): PromptIdentity | undefined {
  const ids = generation?.blocks.map(block => block.id) ?? [];
  const last = ids.at(-1);
  if (!generation || last === undefined || ids.length === 1) {
    return undefined;
  }
  const shared = new Set(ids.slice(-1 - MAXIMUM_BLOCKS, -1));
  return {
    requestHash: hashToUint32(last),
    blockHashes: [...shared].map(id => hashBlock(`${generation.model}/${id}`)),
    customerHash: customer ? hashToUint32(customer.name) : 0,
  };
}

/** Identifies a server until its next start. */
export function hashIncarnation({id, startedAt}: BackendServer): number {
  return hashToUint32(`${id}@${startedAt ?? 0}`);
}
