/** The peer table: who is listed, who was heard and when. */
import type {FileSetVersion} from '@buckthornbeam/config';
import {loadChart} from '@buckthornbeam/shared';
import type {Heartbeat} from './heartbeat.js';
import type {ListedInstance} from './instance_list.js';
import {hashMember} from './ownership.js';
import type {ServerLoad} from './server_load.js';

const memberChart = loadChart(new URL('./charts/member.json', import.meta.url));

/** What is known of a peer. */
export interface Peer extends ListedInstance {
  /** Identity in ownership, see {@link hashMember}. */
  hash: number;
  /** State of the chart in charts/member.json. */
  state: string;
  incarnation: string | undefined;
  /** Sequence of the last heartbeat of the incarnation. */
  sequence: number;
  ready: boolean;
  /** Monotonic time of the last heartbeat, in milliseconds. */
  heardAt: number | undefined;
  /** Monotonic time at which it was put on the list, in milliseconds. */
  listedAt: number;
  /**
   * Monotonic time of the newest heartbeat to the peer that it is known to
   * have received, in milliseconds.
   */
  confirmedAt: number | undefined;
  /** Monotonic time at which another member reached it, in milliseconds. */
  reachedAt: number | undefined;
  viewHash: string | undefined;
  /** Version of the loan that its last heartbeat carried. */
  loanVersion: number;
  fileSet: FileSetVersion | undefined;
  loads: ServerLoad[];
}

/** Options of {@link createPeerTable}. */
export interface PeerTableOptions {
  selfId: string;
  /** Silence after which a peer is suspected, in milliseconds. */
  suspectAfterMs: number;
  /** Silence after which a peer counts as gone, in milliseconds. */
  expireAfterMs: number;
}

/** The peer table. */
export interface PeerTable {
  applyList(list: readonly ListedInstance[], now: number): void;
  /** Records a heartbeat; returns undefined when it must not be used. */
  recordHeartbeat(heartbeat: Heartbeat, now: number): Peer | undefined;
  /** Records that a peer answered, or did not answer, a probe. */
  recordProbe(peerId: string, isReached: boolean, now: number): void;
  /** Moves peers that have been silent for too long. */
  expire(now: number): void;
  list(): Peer[];
  find(instanceId: string): Peer | undefined;
}

/** Incarnations of one peer that are remembered as replaced. */
const MAXIMUM_RETIRED = 8;

/** Creates an empty peer table. */
export function createPeerTable(options: PeerTableOptions): PeerTable {
  const {selfId, suspectAfterMs, expireAfterMs} = options;
  const peers = new Map<string, Peer>();
  const retired = new Map<string, string[]>();

  function createPeer(listed: ListedInstance, hash: number, now: number): Peer {
    return {
      ...listed,
      hash,
      listedAt: now,
      confirmedAt: undefined,
      state: memberChart.initial,
      incarnation: undefined,
      sequence: 0,
      ready: false,
      heardAt: undefined,
      reachedAt: undefined,
      viewHash: undefined,
      loanVersion: 0,
      fileSet: undefined,
      loads: [],
    };
  }

  function stepPeer(peer: Peer, event: string): void {
    peer.state = memberChart.step(peer.state, event);
  }

  function applyListed(listed: ListedInstance, now: number): void {
    const hash = hashMember(listed.id);
    const known = peers.get(listed.id);
    const peer =
      known?.hash === hash
        ? Object.assign(known, listed)
        : createPeer(listed, hash, now);
    peers.set(listed.id, peer);
    stepPeer(peer, listed.leaving ? 'LEAVING' : 'LISTED');
  }

  /** Takes over a new incarnation; returns false for one that was replaced. */
  function acceptIncarnation(peer: Peer, incarnation: string): boolean {
    const earlier = retired.get(peer.id) ?? [];
    if (earlier.includes(incarnation)) {
      return false;
    }
    if (peer.incarnation !== undefined && peer.incarnation !== incarnation) {
      retired.set(
        peer.id,
        [...earlier, peer.incarnation].slice(-MAXIMUM_RETIRED),
      );
      peer.sequence = 0;
      peer.viewHash = undefined;
      peer.loads = [];
      stepPeer(peer, 'REPLACED');
    }
    peer.incarnation = incarnation;
    return true;
  }

  return {
    applyList: (list, now) => {
      const listedIds = new Set(list.map(item => item.id));
      for (const id of peers.keys()) {
        if (!listedIds.has(id)) {
          peers.delete(id);
          retired.delete(id);
        }
      }
      for (const listed of list) {
        if (listed.id !== selfId) {
          applyListed(listed, now);
        }
      }
    },
    recordHeartbeat: (heartbeat, now) => {
      const peer = peers.get(heartbeat.instanceId);
      if (peer?.hash !== heartbeat.memberHash) {
        return undefined;
      }
      if (!acceptIncarnation(peer, heartbeat.incarnation)) {
        return undefined;
      }
      if (heartbeat.sequence <= peer.sequence) {
        return undefined;
      }
      stepPeer(peer, heartbeat.leaving ? 'LEAVING' : 'HEARD');
      peer.sequence = heartbeat.sequence;
      peer.ready = heartbeat.ready;
      peer.heardAt = now;
      peer.viewHash = heartbeat.viewHash;
      peer.loanVersion = heartbeat.loan.version;
      peer.fileSet = heartbeat.fileSet;
      peer.loads = heartbeat.loads;
      return peer;
    },
    recordProbe: (peerId, isReached, now) => {
      const peer = peers.get(peerId);
      if (!peer) {
        return;
      }
      if (isReached) {
        peer.reachedAt = now;
      } else {
        // Two failed probes in a row make a peer gone.
        stepPeer(peer, peer.state === 'suspected' ? 'EXPIRED' : 'SILENT');
      }
    },
    expire: now => {
      for (const peer of peers.values()) {
        const {heardAt = now, reachedAt = heardAt} = peer;
        if (now - Math.max(heardAt, reachedAt) >= expireAfterMs) {
          stepPeer(peer, 'EXPIRED');
        } else if (now - heardAt >= suspectAfterMs) {
          stepPeer(peer, 'SILENT');
        }
      }
    },
    list: () => [...peers.values()],
    find: instanceId => peers.get(instanceId),
  };
}
