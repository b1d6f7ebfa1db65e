/** The peer table of one instance: who is listed, who was heard and when. */
import type {FileSetVersion} from '@buckthornbeam/config';
import {loadChart, rankByRendezvous} from '@buckthornbeam/shared';
import type {ListedInstance} from './instance_list.js';

const memberChart = loadChart(new URL('./charts/member.json', import.meta.url));

/** Load of one backend server as its owner reports it. */
export interface ServerLoad {
  serverId: string;
  limit: number;
  inFlight: number;
  queued: number;
  /** Wait before a dispatch that the owner expects, in milliseconds. */
  expectedWaitMs: number;
  /** Recent time for each token of one stream, in milliseconds; 0 if unknown. */
  msPerToken: number;
  /** Phase of the server's state chart. */
  phase: string;
  /** Lowest priority that is queued or runs; 0 if none. */
  lowestTier: number;
}

/** What a heartbeat says about its sender. */
export interface Heartbeat {
  instanceId: string;
  incarnation: string;
  ready: boolean;
  leaving: boolean;
  fileSet: FileSetVersion | undefined;
  loads: ServerLoad[];
}

/** What is known of a peer. */
export interface Peer extends ListedInstance {
  /** State of the chart in charts/member.json. */
  state: string;
  incarnation: string | undefined;
  ready: boolean;
  /** Monotonic time of the last heartbeat, in milliseconds. */
  heardAt: number | undefined;
  fileSet: FileSetVersion | undefined;
  loads: ServerLoad[];
}

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  selfId: string;
  /** Silence after which a peer is suspected, in milliseconds. */
  suspectAfterMs: number;
  /** Silence after which a peer counts as gone, in milliseconds. */
  expireAfterMs: number;
}

/** The peer table. */
export interface Membership {
  /** Applies a newly read instance list. */
  applyList(list: readonly ListedInstance[]): void;
  /** Applies a heartbeat, received or answered. */
  applyHeartbeat(heartbeat: Heartbeat, now: number): void;
  /** Moves peers that have been silent for too long. */
  expire(now: number): void;
  /** Peers without the instance itself. */
  listPeers(): Peer[];
  /** Finds the owner of a backend server among live instances. */
  findOwner(serverId: string): string | undefined;
}

/** Creates an empty peer table. */
export function createMembership(options: MembershipOptions): Membership {
  const {selfId, suspectAfterMs, expireAfterMs} = options;
  const peers = new Map<string, Peer>();
  let isSelfLeaving = false;

  function addPeer(listed: ListedInstance): Peer {
    const peer: Peer = {
      ...listed,
      state: memberChart.initial,
      incarnation: undefined,
      ready: false,
      heardAt: undefined,
      fileSet: undefined,
      loads: [],
    };
    peers.set(listed.id, peer);
    return peer;
  }

  function applyListed(listed: ListedInstance): void {
    if (listed.id === selfId) {
      isSelfLeaving = listed.leaving;
      return;
    }
    const peer = peers.get(listed.id) ?? addPeer(listed);
    Object.assign(peer, listed);
    peer.state = memberChart.step(
      peer.state,
      listed.leaving ? 'LEAVING' : 'LISTED',
    );
  }

  function isCandidate(peer: Peer): boolean {
    return (
      peer.ready && (peer.state === 'active' || peer.state === 'suspected')
    );
  }

  return {
    applyList: list => {
      const listedIds = new Set(list.map(item => item.id));
      for (const id of peers.keys()) {
        if (!listedIds.has(id)) {
          peers.delete(id);
        }
      }
      list.forEach(applyListed);
    },
    applyHeartbeat: (heartbeat, now) => {
      const peer = peers.get(heartbeat.instanceId);
      if (!peer) {
        return;
      }
      peer.state = memberChart.step(
        peer.state,
        heartbeat.leaving ? 'LEAVING' : 'HEARD',
      );
      peer.incarnation = heartbeat.incarnation;
      peer.ready = heartbeat.ready;
      peer.heardAt = now;
      peer.fileSet = heartbeat.fileSet;
      peer.loads = heartbeat.loads;
    },
    expire: now => {
      for (const peer of peers.values()) {
        const silentMs = now - (peer.heardAt ?? now);
        if (silentMs >= expireAfterMs) {
          peer.state = memberChart.step(peer.state, 'EXPIRED');
        }
        if (silentMs >= suspectAfterMs) {
          peer.state = memberChart.step(peer.state, 'SILENT');
        }
      }
    },
    listPeers: () => [...peers.values()],
    findOwner: serverId => {
      const candidates = [...peers.values()]
        .filter(isCandidate)
        .map(peer => peer.id);
      if (!isSelfLeaving) {
        candidates.push(selfId);
      }
      return rankByRendezvous(serverId, candidates)[0];
    },
  };
}
