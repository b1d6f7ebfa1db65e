/** The peer table: the listed instances and the latest heartbeat of each. */
import type {FileSetVersion} from '@buckthornbeam/config';
import {loadChart} from '@buckthornbeam/shared';
import type {Heartbeat} from './heartbeat.js';
import type {ListedInstance} from './instance_list.js';
import {hashMember} from './ownership.js';
import type {ServerLoad} from './server_load.js';

const memberChart = loadChart(new URL('./charts/member.json', import.meta.url));

/** A listed instance other than this one, with what its heartbeats reported. */
export interface Peer extends ListedInstance {
  /** Key in rendezvous hashing, see {@link hashMember}. */
  hash: number;
  /** State in the chart charts/member.json. */
  state: string;
  incarnation: string | undefined;
  /** Sequence of the last heartbeat applied; 0 if none of this incarnation. */
  sequence: number;
  ready: boolean;
  /** Monotonic time at which the last heartbeat arrived, in milliseconds. */
  lastHeartbeatAt: number | undefined;
  /** Monotonic time at which the peer joined the list, in milliseconds. */
  listedAt: number;
  /**
   * Monotonic time at which the newest heartbeat that the peer acknowledged was
   * sent to it, in milliseconds.
   */
  acknowledgedSentAt: number | undefined;
  /** Monotonic time of the last successful probe, in milliseconds. */
  lastProbeSuccessAt: number | undefined;
  viewHash: string | undefined;
  /** Version of the lease terms in its last heartbeat. */
  leaseVersion: number;
  fileSet: FileSetVersion | undefined;
  loads: ServerLoad[];
}

/** Options of {@link createPeerTable}. */
export interface PeerTableOptions {
  selfId: string;
  /** Time without a heartbeat after which a peer is suspected, in ms. */
  suspectAfterMs: number;
  /** Time without a heartbeat or probe after which a peer is gone, in ms. */
  expireAfterMs: number;
}

export interface PeerTable {
  applyList(list: readonly ListedInstance[], now: number): void;
  /**
   * Records a heartbeat. Returns undefined for one that must be ignored: from
   * an unlisted peer, from a replaced incarnation, or out of order.
   */
  recordHeartbeat(heartbeat: Heartbeat, now: number): Peer | undefined;
  /** Records whether a peer was reached, directly or through another peer. */
  recordProbe(peerId: string, isReached: boolean, now: number): void;
  /** Marks peers without recent heartbeats as suspected, then as gone. */
  expire(now: number): void;
  list(): Peer[];
  find(instanceId: string): Peer | undefined;
}

/** Replaced incarnations kept per peer, to reject their late heartbeats. */
const MAXIMUM_REPLACED_INCARNATIONS = 8;

export function createPeerTable(options: PeerTableOptions): PeerTable {
  const {selfId, suspectAfterMs, expireAfterMs} = options;
  const peers = new Map<string, Peer>();
  const replacedIncarnations = new Map<string, string[]>();

  function createPeer(listed: ListedInstance, hash: number, now: number): Peer {
    return {
      ...listed,
      hash,
      listedAt: now,
      acknowledgedSentAt: undefined,
      state: memberChart.initial,
      incarnation: undefined,
      sequence: 0,
      ready: false,
      lastHeartbeatAt: undefined,
      lastProbeSuccessAt: undefined,
      viewHash: undefined,
      leaseVersion: 0,
      fileSet: undefined,
      loads: [],
    };
  }

  function stepPeer(peer: Peer, event: string): void {
    peer.state = memberChart.step(peer.state, event);
  }

  function applyListed(listed: ListedInstance, now: number): void {
    const hash = hashMember(listed.id);
    const existing = peers.get(listed.id);
    const peer =
      existing?.hash === hash
        ? Object.assign(existing, listed)
        : createPeer(listed, hash, now);
    peers.set(listed.id, peer);
    stepPeer(peer, listed.leaving ? 'LEAVING' : 'LISTED');
  }

  /** Switches to a new incarnation; returns false for a replaced one. */
  function acceptIncarnation(peer: Peer, incarnation: string): boolean {
    const earlier = replacedIncarnations.get(peer.id) ?? [];
    if (earlier.includes(incarnation)) {
      return false;
    }
    if (peer.incarnation !== undefined && peer.incarnation !== incarnation) {
      replacedIncarnations.set(
        peer.id,
        [...earlier, peer.incarnation].slice(-MAXIMUM_REPLACED_INCARNATIONS),
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
          replacedIncarnations.delete(id);
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
      peer.lastHeartbeatAt = now;
      peer.viewHash = heartbeat.viewHash;
      peer.leaseVersion = heartbeat.lease.version;
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
        peer.lastProbeSuccessAt = now;
      } else {
        // A failed probe of a suspected peer, such as the second failure in a
        // row, marks it as gone.
        stepPeer(peer, peer.state === 'suspected' ? 'EXPIRED' : 'SILENT');
      }
    },
    expire: now => {
      for (const peer of peers.values()) {
        const {
          lastHeartbeatAt: heartbeatAt = now,
          lastProbeSuccessAt = heartbeatAt,
        } = peer;
        if (now - Math.max(heartbeatAt, lastProbeSuccessAt) >= expireAfterMs) {
          stepPeer(peer, 'EXPIRED');
        } else if (now - heartbeatAt >= suspectAfterMs) {
          stepPeer(peer, 'SILENT');
        }
      }
    },
    list: () => [...peers.values()],
    find: instanceId => peers.get(instanceId),
  };
}
