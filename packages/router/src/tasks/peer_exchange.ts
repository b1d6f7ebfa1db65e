/** Which peers this instance calls in a period of heartbeats. */
import type {Membership, Peer} from '@buckthornbeam/membership';
import {hashToUint32} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';

/** Options of {@link listExchangePeers}. */
export interface ExchangeOptions {
  selfId: string;
  membership: Membership;
  random: RandomSource;
  now: number;
  /** Silence after which both sides of a pair call. */
  silenceMs: number;
}

/** Peers outside the neighbours that are called in each period. */
const RANDOM_PEERS = 2;

/** Whether this instance, rather than its peer, calls in each period. */
function isCaller(selfId: string, peerId: string): boolean {
  const isFirst = selfId < peerId;
  const pair = isFirst ? `${selfId} ${peerId}` : `${peerId} ${selfId}`;
  return (hashToUint32(pair) & 1) === 1 ? isFirst : !isFirst;
}

function pickOthers(
  peers: readonly Peer[],
  excluded: ReadonlySet<string>,
  random: RandomSource,
): Peer[] {
  const others = peers.filter(peer => !excluded.has(peer.id));
  const picked = new Set<Peer>();
  const count = Math.min(RANDOM_PEERS, others.length);
  while (picked.size < count) {
    picked.add(others[random.nextInt(others.length)]!);
  }
  return [...picked];
}

/**
 * Lists the peers to call: neighbours by turns of a pair, and a few random
 * others, so that the number of calls does not grow with the fleet.
 */
export function listExchangePeers(options: ExchangeOptions): Peer[] {
  const {selfId, membership, random, now, silenceMs} = options;
  const neighbours = membership.listNeighbours();
  const neighbourIds = new Set(neighbours.map(peer => peer.id));
  const called = neighbours.filter(peer => {
    const silentMs = now - (peer.lastHeartbeatAt ?? -Infinity);
    return silentMs >= silenceMs || isCaller(selfId, peer.id);
  });
  const others = pickOthers(membership.listPeers(), neighbourIds, random);
  return [...called, ...others];
}
