/**
 * Membership of one instance: views, peers, lent shares and isolation. Pure:
 * the time comes with each call, and heartbeats are values that the task sends.
 */
import {compareVersions} from '@buckthornbeam/config';
import type {FileSetVersion} from '@buckthornbeam/config';
import {createBorrower} from './borrower.js';
import type {CellMember} from './cells.js';
import type {Heartbeat, HeartbeatReceipt} from './heartbeat.js';
import type {ListedInstance} from './instance_list.js';
import {createLender} from './lender.js';
import type {LoanTerms} from './lender.js';
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
  /** Monotonic time of the start, in milliseconds. */
  startedAt: number;
  /** Length of a lease, in milliseconds. */
  leaseMs: number;
  /** Silence after which a peer is suspected, in milliseconds. */
  suspectAfterMs: number;
  /** Longest lag of the instance list, in milliseconds. */
  listLagMs: number;
}

/** What an instance says of itself in its heartbeats. */
export interface SelfState {
  leaving: boolean;
  fileSet: FileSetVersion | undefined;
  loads: ServerLoad[];
}

/** Membership of one instance. */
export interface Membership {
  /** Applies an instance list and the topology of the file set in force. */
  applyList(
    list: readonly ListedInstance[],
    topology: Topology,
    now: number,
  ): void;
  /** Records that the platform confirmed the instance list. */
  recordReading(readAt: number): void;
  setSelf(self: SelfState): void;
  /** Makes a heartbeat; one to an unlisted instance lends nothing. */
  makeHeartbeat(peerId: string, now: number): Heartbeat;
  /** Applies a heartbeat, received or answered; returns whether it was used. */
  applyHeartbeat(heartbeat: Heartbeat, now: number): boolean;
  recordProbe(peerId: string, isReached: boolean, now: number): void;
  /** Lets time pass: suspicion, ends of leases, old views. */
  advance(now: number): void;
  /** Whether this instance may own servers. */
  isReady(now: number): boolean;
  /** Whether neither a reading nor a majority confirms the view. */
  isIsolated(now: number): boolean;
  /** Time since the newest confirmed reading; undefined without one. */
  computeReadingAge(now: number): number | undefined;
  findOwner(serverId: string, now: number): string | undefined;
  getShare(serverId: string, limit: number, now: number): number;
  listPeers(): Peer[];
  findPeer(instanceId: string): Peer | undefined;
  /** Peers that exchange heartbeats with this instance in every period. */
  listNeighbours(): Peer[];
  getViewHash(): string;
}

/** Clocks of two instances may differ in speed by this factor. */
const CLOCK_SPEED_MARGIN = 1.05;

/** Factor on the lag when no majority confirms a new view. */
const UNCONFIRMED_LAG_FACTOR = 6;

const NO_LOAN: LoanTerms = {version: 0, isGranted: false, lent: [], next: []};

/** Creates the membership of a new incarnation. */
export function createMembership(options: MembershipOptions): Membership {
  const {selfId, incarnation, startedAt, leaseMs, listLagMs} = options;
  const leaseWaitMs = leaseMs * CLOCK_SPEED_MARGIN;
  // A reading may be as old as the lag when it is made, and is used as long.
  const settleMs = 2 * listLagMs * CLOCK_SPEED_MARGIN + leaseWaitMs;
  const unconfirmedSettleMs = settleMs * UNCONFIRMED_LAG_FACTOR;
  const peers = createPeerTable({
    selfId,
    suspectAfterMs: options.suspectAfterMs,
    expireAfterMs: leaseWaitMs,
  });
  const history = createViewHistory(unconfirmedSettleMs);
  const lender = createLender({leaseWaitMs, startedAt});
  const borrower = createBorrower(getSelfHash);
  const sentAt = new Map<number, number>();
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
  let readingAt: number | undefined;
  let hasComparedFileSet = false;

  function getSelfHash(): number {
    return history.findNewest()?.findMember(selfId)?.hash ?? -1;
  }

  function getViewHash(): string {
    return history.findNewest()?.hash ?? '';
  }

  /** Whether no heard member of a majority holds a greater file set. */
  function isFileSetCurrent(own: FileSetVersion, now: number): boolean {
    const cell = findOwnCell();
    const held = cell
      .map(member => peers.find(member.id))
      .filter(peer => peer?.heardAt !== undefined)
      .map(peer => peer!.fileSet);
    if (held.some(version => version && compareVersions(version, own) > 0)) {
      return false;
    }
    // Peers that never answer delay the start, and do not prevent it.
    return (held.length + 1) * 2 > cell.length || now >= startedAt + settleMs;
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
    lender.setCandidates(candidates.map(member => member.hash));
    lender.advance(now);
  }

  function makeReceipt(peer: Peer): HeartbeatReceipt | undefined {
    return peer.incarnation === undefined
      ? undefined
      : {
          incarnation: peer.incarnation,
          sequence: peer.sequence,
          loanVersion: peer.loanVersion,
        };
  }

  function computeReadingAge(now: number): number | undefined {
    return readingAt === undefined ? undefined : now - readingAt;
  }

  /** The time of the reading is bounded by what the peer had received. */
  function mergeReading(heartbeat: Heartbeat, receivedAt: number): void {
    const isSameView = heartbeat.viewHash === getViewHash();
    if (heartbeat.readingAgeMs !== undefined && isSameView) {
      readingAt = Math.max(
        readingAt ?? -Infinity,
        receivedAt - heartbeat.readingAgeMs,
      );
    }
  }

  /** Whether a majority of the cell answered lately, from the same view. */
  function hasMajority(now: number): boolean {
    const cell = findOwnCell();
    const viewHash = getViewHash();
    const isConfirming = ({id}: CellMember) => {
      const peer = peers.find(id);
      return (
        id === selfId ||
        (peer?.confirmedAt !== undefined &&
          peer.viewHash === viewHash &&
          now < peer.confirmedAt + leaseMs)
      );
    };
    return cell.filter(isConfirming).length * 2 > cell.length;
  }

  function isIsolated(now: number): boolean {
    const age = computeReadingAge(now);
    return !(age !== undefined && age <= listLagMs) && !hasMajority(now);
  }

  function expireSent(now: number): void {
    for (const [sent, time] of sentAt) {
      if (now < time + leaseMs) {
        return;
      }
      sentAt.delete(sent);
    }
  }

  /** Finds when the heartbeat was sent that the peer answered last. */
  function findAnchor(peer: Peer, heartbeat: Heartbeat): number | undefined {
    const {receipt} = heartbeat;
    if (receipt?.incarnation !== incarnation) {
      return undefined;
    }
    const anchor = sentAt.get(receipt.sequence);
    // A late heartbeat from before the peer was listed again proves nothing.
    return anchor !== undefined && anchor >= peer.listedAt ? anchor : undefined;
  }

  function applyLoan(peer: Peer, heartbeat: Heartbeat): void {
    const anchor = findAnchor(peer, heartbeat);
    borrower.apply(
      peer.hash,
      heartbeat.loan,
      anchor === undefined ? -Infinity : anchor + leaseMs,
    );
    if (anchor !== undefined) {
      peer.confirmedAt = anchor;
      mergeReading(heartbeat, anchor);
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
    recordReading: readAt => {
      readingAt = Math.max(readingAt ?? -Infinity, readAt);
    },
    setSelf: state => {
      self = state;
    },
    makeHeartbeat: (peerId, now) => {
      const peer = peers.find(peerId);
      sequence += 1;
      sentAt.set(sequence, now);
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
        readingAgeMs: computeReadingAge(now),
        loan: peer ? lender.makeTerms(peer.hash, now) : NO_LOAN,
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
      lender.recordSign(
        {
          memberHash: peer.hash,
          incarnation: heartbeat.incarnation,
          loanVersion: isForSelf ? receipt.loanVersion : undefined,
        },
        now,
      );
      applyLoan(peer, heartbeat);
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
      expireSent(now);
      updateCandidates(now);
    },
    isReady,
    isIsolated,
    computeReadingAge,
    findOwner: (serverId, now) => {
      const view = history.findNewest();
      const cell = view?.findCellOfServer(serverId) ?? [];
      const isOwnCell = cell.some(member => member.id === selfId);
      const candidates = cell.filter(({id}) => {
        const peer = peers.find(id);
        if (!peer) {
          return id === selfId && isReady(now) && !isLeaving();
        }
        // Members of other cells are rarely heard; the list stands for them.
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
      const {lenders, total} = shares.getShares(serverId, now);
      const held = lenders.filter(member =>
        member.id === selfId
          ? lender.isLentTo(member.hash, serverId, now)
          : borrower.has(member.hash, serverId, now),
      );
      return computeShareLimit(limit, held.length, total);
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
