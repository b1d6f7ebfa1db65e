/**
 * Membership of one instance: views, peers, quota leases and isolation. It
 * performs no I/O: the caller passes the time to each method and sends the
 * heartbeats that it makes.
 */
import {compareVersions} from '@buckthornbeam/config';
import type {FileSetVersion} from '@buckthornbeam/config';
import {createQuotaGrantee} from './quota_grantee.js';
import type {CellMember} from './cells.js';
import type {Heartbeat, HeartbeatReceipt} from './heartbeat.js';
import type {ListedInstance} from './instance_list.js';
import {createQuotaGranter} from './quota_granter.js';
import type {LeaseTerms} from './quota_granter.js';
import {findOwnerHash} from './ownership.js';
import {createPeerTable} from './peer_table.js';
import type {Peer} from './peer_table.js';
import type {ServerLoad} from './server_load.js';
import {createServerShares} from './server_shares.js';
import {computeShareLimit} from './share_limit.js';
import {buildView} from './view.js';
import type {Topology} from './view.js';
import {createViewHistory, mergeCells} from './view_history.js';

/** Options of {@link createMembership}. */
export interface MembershipOptions {
  selfId: string;
  incarnation: string;
  /** Monotonic start time of this incarnation, in milliseconds. */
  startedAt: number;
  /** Duration of a quota lease, in milliseconds. */
  leaseMs: number;
  /** Time without a heartbeat after which a peer is suspected, in ms. */
  suspectAfterMs: number;
  /**
   * Longest lag of a fetched instance list behind the published one, and
   * longest time that a list counts as recent without confirmation, in
   * milliseconds.
   */
  listLagMs: number;
}

/** State of this instance that its heartbeats report. */
export interface SelfState {
  leaving: boolean;
  fileSet: FileSetVersion | undefined;
  loads: ServerLoad[];
}

export interface Membership {
  /** Applies an instance list and the topology of the file set in force. */
  applyList(
    list: readonly ListedInstance[],
    topology: Topology,
    now: number,
  ): void;
  /** Records that the configuration service confirmed the instance list. */
  recordListConfirmation(readAt: number): void;
  setSelf(self: SelfState): void;
  /** Makes a heartbeat; one to an unlisted instance grants no lease. */
  makeHeartbeat(peerId: string, now: number): Heartbeat;
  /**
   * Applies a received heartbeat, be it a request or a response. Returns false
   * if it was ignored.
   */
  applyHeartbeat(heartbeat: Heartbeat, now: number): boolean;
  recordProbe(peerId: string, isReached: boolean, now: number): void;
  /** Applies what is due at `now`: suspected peers, expired views, leases. */
  advance(now: number): void;
  /** Whether this instance may own servers. */
  isReady(now: number): boolean;
  /** Whether neither a recent list nor a majority confirms the view. */
  isIsolated(now: number): boolean;
  /** Milliseconds since the list was last confirmed; undefined if never. */
  computeListAge(now: number): number | undefined;
  findOwner(serverId: string, now: number): string | undefined;
  /** Computes the part of a server's limit that this instance may use. */
  getShare(serverId: string, limit: number, now: number): number;
  listPeers(): Peer[];
  findPeer(instanceId: string): Peer | undefined;
  /**
   * Lists the peers that share a cell with this instance in a kept view. They
   * exchange heartbeats with it in every period.
   */
  listNeighbours(): Peer[];
  getViewHash(): string;
}

/** Greatest ratio between the clock rates of two instances. */
const MAXIMUM_CLOCK_RATE_RATIO = 1.05;

/** Factor on the settle time while no majority confirms a new view. */
const UNCONFIRMED_SETTLE_RATIO = 6;

const NO_LEASE: LeaseTerms = {
  version: 0,
  isGranted: false,
  currentCandidates: [],
  nextCandidates: [],
};

export function createMembership(options: MembershipOptions): Membership {
  const {selfId, incarnation, startedAt, leaseMs, listLagMs} = options;
  const leaseWaitMs = leaseMs * MAXIMUM_CLOCK_RATE_RATIO;
  // A list may be `listLagMs` old when it is fetched, and may be used for as
  // long again.
  const settleMs = 2 * listLagMs * MAXIMUM_CLOCK_RATE_RATIO + leaseWaitMs;
  const unconfirmedSettleMs = settleMs * UNCONFIRMED_SETTLE_RATIO;
  const peers = createPeerTable({
    selfId,
    suspectAfterMs: options.suspectAfterMs,
    expireAfterMs: leaseWaitMs,
  });
  const history = createViewHistory(unconfirmedSettleMs);
  const granter = createQuotaGranter({leaseWaitMs, startedAt});
  const grantee = createQuotaGrantee(getSelfHash);
  const sentAtBySequence = new Map<number, number>();
  const shares = createServerShares({
    history,
    startedAt,
    settleMs,
    unconfirmedSettleMs,
    hasConfirmed: member =>
      member.id === selfId || peers.find(member.id)?.viewHash === getViewHash(),
  });
  let self: SelfState = {leaving: false, fileSet: undefined, loads: []};
  let isSelfListedLeaving = false;
  let sequence = 0;
  let listConfirmedAt: number | undefined;
  let hasComparedFileSet = false;

  function getSelfHash(): number {
    return history.findNewest()?.findMember(selfId)?.hash ?? -1;
  }

  function getViewHash(): string {
    return history.findNewest()?.hash ?? '';
  }

  /**
   * Whether no member of the own cell has reported a newer file set. Until
   * `settleMs` after the start, a majority must have sent heartbeats.
   */
  function isFileSetCurrent(own: FileSetVersion, now: number): boolean {
    const cell = findOwnCell();
    const others = cell
      .map(member => peers.find(member.id))
      .filter(peer => peer?.lastHeartbeatAt !== undefined)
      .map(peer => peer!.fileSet);
    if (others.some(version => version && compareVersions(version, own) > 0)) {
      return false;
    }
    // Unresponsive peers delay the start but do not prevent it.
    return (others.length + 1) * 2 > cell.length || now >= startedAt + settleMs;
  }

  function isReady(now: number): boolean {
    if (self.fileSet === undefined || now < startedAt + leaseWaitMs) {
      return false;
    }
    hasComparedFileSet ||= isFileSetCurrent(self.fileSet, now);
    return hasComparedFileSet;
  }

  function isLeaving(): boolean {
    return self.leaving || isSelfListedLeaving;
  }

  function isCandidate(peer: Peer): boolean {
    const isAlive = peer.state === 'active' || peer.state === 'suspected';
    return peer.ready && isAlive;
  }

  function findOwnCell() {
    return history.findNewest()?.findCellOfInstance(selfId) ?? [];
  }

  function updateCandidates(now: number): void {
    const candidates = findOwnCell().filter(member =>
      member.id === selfId
        ? isReady(now) && !isLeaving()
        : isCandidate(peers.find(member.id)!),
    );
    granter.setCandidates(candidates.map(member => member.hash));
    granter.advanceCandidates(now);
  }

  function makeReceipt(peer: Peer): HeartbeatReceipt | undefined {
    return peer.incarnation === undefined
      ? undefined
      : {
          incarnation: peer.incarnation,
          sequence: peer.sequence,
          loanVersion: peer.leaseVersion,
        };
  }

  function getListAge(now: number): number | undefined {
    return listConfirmedAt === undefined ? undefined : now - listConfirmedAt;
  }

  /**
   * Adopts the confirmation time of a peer that has the same view.
   * The peer sent its heartbeat after `acknowledgedSentAt`, so the adopted time
   * is never too recent.
   */
  function mergeListConfirmation(
    heartbeat: Heartbeat,
    acknowledgedSentAt: number,
  ): void {
    const isSameView = heartbeat.viewHash === getViewHash();
    if (heartbeat.listAgeMs !== undefined && isSameView) {
      listConfirmedAt = Math.max(
        listConfirmedAt ?? -Infinity,
        acknowledgedSentAt - heartbeat.listAgeMs,
      );
    }
  }

  /**
   * Whether a majority of the cell has the same view and acknowledged a
   * heartbeat within the duration of a lease.
   */
  function hasMajority(now: number): boolean {
    const cell = findOwnCell();
    const viewHash = getViewHash();
    const hasConfirmedView = ({id}: CellMember) => {
      const peer = peers.find(id);
      return (
        id === selfId ||
        (peer?.acknowledgedSentAt !== undefined &&
          peer.viewHash === viewHash &&
          now < peer.acknowledgedSentAt + leaseMs)
      );
    };
    return cell.filter(hasConfirmedView).length * 2 > cell.length;
  }

  function isIsolated(now: number): boolean {
    const age = getListAge(now);
    return !(age !== undefined && age <= listLagMs) && !hasMajority(now);
  }

  function expireSentTimes(now: number): void {
    for (const [sentSequence, sentAt] of sentAtBySequence) {
      if (now < sentAt + leaseMs) {
        return;
      }
      sentAtBySequence.delete(sentSequence);
    }
  }

  /** Finds when the own heartbeat was sent that the peer acknowledges. */
  function findAcknowledgedSentAt(
    peer: Peer,
    heartbeat: Heartbeat,
  ): number | undefined {
    const {receipt} = heartbeat;
    if (receipt?.incarnation !== incarnation) {
      return undefined;
    }
    const acknowledgedSentAt = sentAtBySequence.get(receipt.sequence);
    // A receipt for a heartbeat from before the peer was listed again may be
    // late and says nothing about its current state.
    return acknowledgedSentAt !== undefined &&
      acknowledgedSentAt >= peer.listedAt
      ? acknowledgedSentAt
      : undefined;
  }

  function applyLease(peer: Peer, heartbeat: Heartbeat): void {
    const acknowledgedSentAt = findAcknowledgedSentAt(peer, heartbeat);
    grantee.apply(
      peer.hash,
      heartbeat.lease,
      acknowledgedSentAt === undefined
        ? -Infinity
        : acknowledgedSentAt + leaseMs,
    );
    if (acknowledgedSentAt !== undefined) {
      peer.acknowledgedSentAt = acknowledgedSentAt;
      mergeListConfirmation(heartbeat, acknowledgedSentAt);
    }
  }

  return {
    applyList: (list, topology, now) => {
      peers.applyList(list, now);
      isSelfListedLeaving =
        list.find(item => item.id === selfId)?.leaving ?? false;
      history.accept(buildView(list, topology), now);
      updateCandidates(now);
    },
    recordListConfirmation: readAt => {
      listConfirmedAt = Math.max(listConfirmedAt ?? -Infinity, readAt);
    },
    setSelf: state => {
      self = state;
    },
    makeHeartbeat: (peerId, now) => {
      const peer = peers.find(peerId);
      sequence += 1;
      sentAtBySequence.set(sequence, now);
      return {
        instanceId: selfId,
        incarnation,
        memberHash: getSelfHash(),
        sequence,
        receipt: peer && makeReceipt(peer),
        ready: isReady(now),
        leaving: isLeaving(),
        fileSet: self.fileSet,
        viewHash: getViewHash(),
        listAgeMs: getListAge(now),
        lease: peer ? granter.makeLeaseTerms(peer.hash, now) : NO_LEASE,
        loads: self.loads,
      };
    },
    applyHeartbeat: (heartbeat, now) => {
      const peer = peers.recordHeartbeat(heartbeat, now);
      if (!peer) {
        return false;
      }
      const {receipt} = heartbeat;
      const isForSelf = receipt?.incarnation === incarnation;
      granter.recordAcknowledgement(
        {
          memberHash: peer.hash,
          incarnation: heartbeat.incarnation,
          appliedVersion: isForSelf ? receipt.loanVersion : undefined,
        },
        now,
      );
      applyLease(peer, heartbeat);
      updateCandidates(now);
      return true;
    },
    recordProbe: (peerId, isReached, now) => {
      peers.recordProbe(peerId, isReached, now);
      updateCandidates(now);
    },
    advance: now => {
      peers.expire(now);
      history.expire(now);
      expireSentTimes(now);
      updateCandidates(now);
    },
    isReady,
    isIsolated,
    computeListAge: getListAge,
    findOwner: (serverId, now) => {
      const view = history.findNewest();
      const cell = view?.findCellOfServer(serverId) ?? [];
      const isOwnCell = cell.some(member => member.id === selfId);
      const candidates = cell.filter(({id}) => {
        const peer = peers.find(id);
        if (!peer) {
          return id === selfId && isReady(now) && !isLeaving();
        }
        // Members of other cells rarely send heartbeats to this one, so being
        // listed is enough.
        return isOwnCell
          ? isCandidate(peer)
          : peer.state !== 'gone' && peer.state !== 'leaving';
      });
      const owner = findOwnerHash(
        serverId,
        candidates.map(member => member.hash),
      );
      return candidates.find(member => member.hash === owner)?.id;
    },
    getShare: (serverId, limit, now) => {
      if (isIsolated(now)) {
        return 0;
      }
      const {granters, total} = shares.getShares(serverId, now);
      const heldShares = granters.filter(member =>
        member.id === selfId
          ? granter.isLeasedTo(member.hash, serverId, now)
          : grantee.hasShare(member.hash, serverId, now),
      );
      return computeShareLimit(limit, heldShares.length, total);
    },
    listPeers: () => peers.list(),
    findPeer: instanceId => peers.find(instanceId),
    listNeighbours: () =>
      mergeCells(history.listCellsOfInstance(selfId))
        .map(member => peers.find(member.id))
        .filter(peer => peer !== undefined),
    getViewHash,
  };
}
