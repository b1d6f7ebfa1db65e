/** The addresses that callers should use. */
import type {Identity} from '../identity.js';
import type {Member} from './member.js';

/** One address. */
export interface ListedEntry {
  id: string;
  /** `host:port`. */
  address: string;
  dataCentre: string;
}

/** Addresses in the order in which the caller should try them. */
export interface EntryList {
  entries: ListedEntry[];
  /** How long the caller may keep the list, in milliseconds. */
  keepMs: number;
}

/** Options of {@link listEntries}. */
export interface EntryListOptions {
  identity: Identity;
  callerAddress: string;
  member: Member;
  /** Whether this instance takes new requests. */
  isServing: boolean;
}

const KEEP_MS = 10_000;

/** Lists ready entries, those in the caller's data centre first. */
export function listEntries(
  options: EntryListOptions,
  callerDataCentre: string | null,
): EntryList {
  const {identity, callerAddress, member, isServing} = options;
  const entries: ListedEntry[] = member
    .listPeers()
    .filter(peer => peer.ready && peer.state === 'active')
    .map(peer => ({
      id: peer.id,
      address: peer.callerAddress,
      dataCentre: peer.dataCentre,
    }));
  if (isServing) {
    entries.push({
      id: identity.instanceId,
      address: callerAddress,
      dataCentre: identity.dataCentre,
    });
  }
  const near = callerDataCentre ?? identity.dataCentre;
  const rank = (entry: ListedEntry) => (entry.dataCentre === near ? 0 : 1);
  entries.sort((a, b) => rank(a) - rank(b));
  return {entries, keepMs: KEEP_MS};
}
