/** List of the instances that callers may send requests to. */
import type {Identity} from '../identity.js';
import type {Member} from './member.js';

/** One instance of the list. */
export interface ListedEntry {
  id: string;
  /** `host:port`. */
  address: string;
  dataCentre: string;
}

/** Response of the entry list; written out as JSON. */
export interface EntryList {
  /** Entries in the order in which the caller should try them. */
  entries: ListedEntry[];
  /** Time for which the caller may cache the list, in milliseconds. */
  keepMs: number;
}

/** Options of {@link listEntries}. */
export interface EntryListOptions {
  identity: Identity;
  callerAddress: string;
  member: Member;
  /** Whether this instance accepts new requests. */
  isServing: boolean;
}

const LIST_LIFETIME_MS = 10_000;

/**
 * Lists ready instances, those in the caller's data centre first. Without one,
 * the data centre of this instance is preferred.
 */
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
  const preferred = callerDataCentre ?? identity.dataCentre;
  const rank = (entry: ListedEntry) => (entry.dataCentre === preferred ? 0 : 1);
  entries.sort((a, b) => rank(a) - rank(b));
  return {entries, keepMs: LIST_LIFETIME_MS};
}
