/** Selection of the peers that receive a heartbeat in one interval. */
import type {Membership, Peer} from '@buckthornbeam/membership';
import {hashToUint32} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';

/** Options of {@link listHeartbeatTargets}. */
export interface HeartbeatTargetsOptions {
  selfId: string;
  membership: Membership;
  random: RandomSource;
  /** Monotonic time in milliseconds. */
  now: number;
  /** Time without a heartbeat after which both peers of a pair send one. */
  bothSendAfterMs: number;
}

/** Peers other than neighbours that receive a heartbeat in each interval. */
const RANDOM_PEER_COUNT = 2;

/**
 * Whether this instance, rather than its peer, regularly sends the heartbeats
 * of the pair. A hash of the pair decides, so both compute the same result.
 */
function isInitiator(selfId: string, peerId: string): boolean {
  const isSelfFirst = selfId < peerId;
  const pair = isSelfFirst ? `${selfId} ${peerId}` : `${peerId} ${selfId}`;
  return (hashToUint32(pair) & 1) === 1 ? isSelfFirst : !isSelfFirst;
}

function pickRandomPeers(
  peers: readonly Peer[],
  excluded: ReadonlySet<string>,
  random: RandomSource,
): Peer[] {
  const candidates = peers.filter(peer => !excluded.has(peer.id));
  const picked = new Set<Peer>();
  const count = Math.min(RANDOM_PEER_COUNT, candidates.length);
  while (picked.size < count) {
    picked.add(candidates[random.nextInt(candidates.length)]!);
  }
  return [...picked];
}

/**
 * Lists the peers to send a heartbeat to: the neighbours for which this
 * instance is the initiator or which have been silent, and a few random other
 * peers, so that the number of heartbeats does not grow with the fleet.
 */
export function listHeartbeatTargets(options: HeartbeatTargetsOptions): Peer[] {
  const {selfId, membership, random, now, bothSendAfterMs} = options;
  const neighbours = membership.listNeighbours();
  const neighbourIds = new Set(neighbours.map(peer => peer.id));
  const targetNeighbours = neighbours.filter(peer => {
    const sinceHeartbeatMs = now - (peer.lastHeartbeatAt ?? -Infinity);
    return sinceHeartbeatMs >= bothSendAfterMs || isInitiator(selfId, peer.id);
  });
  const randomPeers = pickRandomPeers(
    membership.listPeers(),
    neighbourIds,
    random,
  );
  return [...targetNeighbours, ...randomPeers];
}
