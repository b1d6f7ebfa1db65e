/** The member task: heartbeats to peers, ownership and spread of file sets. */
import {compareVersions} from '@buckthornbeam/config';
import type {FileSet, FileSetVersion, Settings} from '@buckthornbeam/config';
import {buildTopology, createMembership} from '@buckthornbeam/membership';
import type {
  ListedInstance,
  Peer,
  ServerLoad,
  Topology,
} from '@buckthornbeam/membership';
import type {HeartbeatMessage} from '@buckthornbeam/protocol';
import {hashToUint32, rankByRendezvous} from '@buckthornbeam/shared';
import type {Clock, Logger, RandomSource} from '@buckthornbeam/shared';
import {decodeHeartbeat, encodeHeartbeat} from '../heartbeat_codec.js';
import type {Identity} from '../identity.js';
import type {PeerClients} from '../peer_clients.js';
import {listExchangePeers} from './peer_exchange.js';

/** Options of {@link createMember}. */
export interface MemberOptions {
  identity: Identity;
  settings: Settings;
  clock: Clock;
  random: RandomSource;
  logger: Logger;
  clients: PeerClients;
  findFileSet: () => FileSet | undefined;
  listLoads: () => ServerLoad[];
  isLeaving: () => boolean;
  /** Takes a bundle that a peer holds and this instance does not. */
  onBundle: (bundle: string, source: string) => void;
}

/** The member task. */
export interface Member {
  start(): void;
  stop(): void;
  /** Applies a list that was read at the given monotonic time. */
  applyInstances(instances: readonly ListedInstance[], readAt: number): void;
  /** Applies the file set in force and tells the neighbours of it. */
  applyFileSet(set: FileSet): void;
  /** Tells the neighbours at once what changed here. */
  spreadState(): Promise<void>;
  /** Answers a peer's heartbeat. */
  handleHeartbeat(request: HeartbeatMessage): HeartbeatMessage;
  /** Whether a peer was heard a short time ago. */
  hasHeard(instanceId: string): boolean;
  /** The instance list and the age of its reading, in milliseconds. */
  describeInstances(): {instances: ListedInstance[]; readingAgeMs: number};
  /** Whether this instance is one of those that read the platform. */
  isReader(): boolean;
  isReady(): boolean;
  /** Whether neither the platform nor a majority confirms the view. */
  isIsolated(): boolean;
  listPeers(): Peer[];
  findOwner(serverId: string): string | undefined;
  /** How much of a server's limit this instance may use now; 0 for none. */
  getShare(serverId: string, limit: number): number;
  findPeer(instanceId: string): Peer | undefined;
}

/** Silence after which a peer is suspected, in heartbeats. */
const SUSPECT_AFTER_HEARTBEATS = 3;

/** Silence after which both sides of a pair call, in heartbeats. */
const CALL_AFTER_HEARTBEATS = 1.5;

/** Members that are asked whether they reach a suspected one. */
const INDIRECT_PROBES = 2;

/** Instances of each data centre that read the platform. */
const READERS_PER_DATA_CENTRE = 3;

/** Greatest age of a reading that is told to peers, in milliseconds. */
const MAXIMUM_AGE_MS = 0x7fffffff;

const EMPTY_TOPOLOGY: Topology = {scopes: new Map(), servers: new Map()};

function hashList(instances: readonly ListedInstance[]): number {
  const lines = instances.map(item =>
    [item.id, item.dataCentre, item.leaving].join(' '),
  );
  return hashToUint32(lines.sort().join('\n'));
}

function toListedInstance(item: ListedInstance): ListedInstance {
  const {id, dataCentre, callerAddress, peerAddress, leaving} = item;
  return {id, dataCentre, callerAddress, peerAddress, leaving};
}

/** Creates the member task. */
export function createMember(options: MemberOptions): Member {
  const {identity, settings, clock, random, logger, clients} = options;
  const {instanceId, dataCentre} = identity;
  const {heartbeatMs, leaseMs, listLagMs} = settings.timing;
  const suspectAfterMs = heartbeatMs * SUSPECT_AFTER_HEARTBEATS;
  const membership = createMembership({
    selfId: instanceId,
    incarnation: identity.incarnation,
    startedAt: clock.now(),
    leaseMs,
    suspectAfterMs,
    listLagMs,
  });
  let instances: readonly ListedInstance[] = [];
  let listHash = 0;
  let topology = EMPTY_TOPOLOGY;
  let timer: NodeJS.Timeout | undefined;
  let isFetchingBundle = false;
  let wasIsolated = false;

  function getVersion(): FileSetVersion | undefined {
    return options.findFileSet()?.version;
  }

  function updateSelf(): void {
    membership.setSelf({
      leaving: options.isLeaving(),
      fileSet: getVersion(),
      loads: options.listLoads(),
    });
  }

  function makeMessage(peerId: string): HeartbeatMessage {
    updateSelf();
    const heartbeat = membership.makeHeartbeat(peerId, clock.now());
    return encodeHeartbeat(heartbeat, listHash);
  }

  function applyMessage(message: HeartbeatMessage): void {
    membership.applyHeartbeat(decodeHeartbeat(message), clock.now());
    const source = membership.findPeer(message.from?.id ?? '');
    if (source) {
      void fetchNewerBundle(source, message);
      void fetchNewerList(source, message);
    }
  }

  function logPeerFailure(event: string, peer: Peer, error: unknown): void {
    const detail = (error as Error).message;
    logger.debug(event, {peer: peer.id, detail});
  }

  async function fetchNewerBundle(
    peer: Peer,
    {fileSet}: HeartbeatMessage,
  ): Promise<void> {
    const version = getVersion();
    const isNewer =
      fileSet !== undefined &&
      (version === undefined ||
        compareVersions(
          {revision: Number(fileSet.revision), digest: fileSet.digest},
          version,
        ) > 0);
    if (!isNewer || isFetchingBundle) {
      return;
    }
    isFetchingBundle = true;
    try {
      const client = clients.getClient(peer.peerAddress);
      const response = await client.peer.fetchFileSet({}, {timeoutMs: leaseMs});
      options.onBundle(Buffer.from(response.bundle).toString('utf8'), peer.id);
    } catch (error) {
      logPeerFailure('file_set_fetch_failed', peer, error);
    } finally {
      isFetchingBundle = false;
    }
  }

  function computeReadingAge(): number {
    return membership.computeListAge(clock.now()) ?? Infinity;
  }

  /** A list from a peer stands in for a reading that is missing or old. */
  async function fetchNewerList(
    peer: Peer,
    message: HeartbeatMessage,
  ): Promise<void> {
    const age = message.readingAgePlusOneMs;
    const isCurrent = isReader() && computeReadingAge() <= listLagMs;
    const isFresher = age > 0 && age < computeReadingAge();
    if (message.listHash === listHash || isCurrent || !isFresher) {
      return;
    }
    const askedAt = clock.now();
    try {
      const client = clients.getClient(peer.peerAddress);
      const response = await client.peer.fetchInstances(
        {},
        {timeoutMs: heartbeatMs},
      );
      applyInstances(
        response.instances.map(toListedInstance),
        askedAt - response.readingAgeMs,
      );
    } catch (error) {
      logPeerFailure('list_fetch_failed', peer, error);
    }
  }

  async function sendHeartbeat(peer: Peer): Promise<void> {
    try {
      const client = clients.getClient(peer.peerAddress);
      const response = await client.peer.heartbeat(makeMessage(peer.id), {
        timeoutMs: heartbeatMs,
      });
      applyMessage(response);
    } catch (error) {
      logPeerFailure('heartbeat_failed', peer, error);
      if (!membership.listNeighbours().includes(peer)) {
        membership.recordProbe(peer.id, false, clock.now());
      }
    }
  }

  async function probeIndirectly(suspect: Peer, via: Peer): Promise<void> {
    try {
      const client = clients.getClient(via.peerAddress);
      const response = await client.peer.probe(
        {targetId: suspect.id},
        {timeoutMs: heartbeatMs},
      );
      if (response.reachable) {
        membership.recordProbe(suspect.id, true, clock.now());
      }
    } catch (error) {
      logPeerFailure('probe_failed', via, error);
    }
  }

  function probeSuspects(): void {
    const neighbours = membership.listNeighbours();
    const active = neighbours.filter(peer => peer.state === 'active');
    for (const suspect of neighbours) {
      if (suspect.state === 'suspected') {
        rankByRendezvous(
          suspect.id,
          active.map(peer => peer.id),
        )
          .slice(0, INDIRECT_PROBES)
          .forEach(id => {
            void probeIndirectly(suspect, membership.findPeer(id)!);
          });
      }
    }
  }

  function logIsolation(): void {
    const isIsolated = membership.isIsolated(clock.now());
    if (isIsolated !== wasIsolated) {
      wasIsolated = isIsolated;
      logger.warn(isIsolated ? 'isolated' : 'rejoined');
    }
  }

  function runPeriod(): void {
    updateSelf();
    const now = clock.now();
    membership.advance(now);
    logIsolation();
    listExchangePeers({
      selfId: instanceId,
      membership,
      random,
      now,
      silenceMs: heartbeatMs * CALL_AFTER_HEARTBEATS,
    }).forEach(peer => void sendHeartbeat(peer));
    probeSuspects();
  }

  async function spreadState(): Promise<void> {
    updateSelf();
    membership.advance(clock.now());
    await Promise.all(membership.listNeighbours().map(sendHeartbeat));
  }

  function applyView(): void {
    updateSelf();
    membership.applyList(instances, topology, clock.now());
    void spreadState();
  }

  function applyInstances(
    list: readonly ListedInstance[],
    readAt: number,
  ): void {
    membership.recordListConfirmation(readAt);
    const hash = hashList(list);
    if (hash !== listHash) {
      instances = list;
      listHash = hash;
      applyView();
    }
  }

  function isReader(): boolean {
    const ids = instances
      .filter(item => item.dataCentre === dataCentre && !item.leaving)
      .map(item => item.id);
    const readers = rankByRendezvous('reader', ids);
    return (
      !ids.includes(instanceId) ||
      readers.indexOf(instanceId) < READERS_PER_DATA_CENTRE
    );
  }

  return {
    start: () => {
      timer = setInterval(runPeriod, heartbeatMs);
    },
    stop: () => clearInterval(timer),
    applyInstances,
    applyFileSet: set => {
      topology = buildTopology(set);
      applyView();
    },
    spreadState,
    handleHeartbeat: request => {
      applyMessage(request);
      return makeMessage(request.from?.id ?? '');
    },
    hasHeard: peerId => {
      const heardAt = membership.findPeer(peerId)?.lastHeartbeatAt;
      return heardAt !== undefined && clock.now() - heardAt < suspectAfterMs;
    },
    describeInstances: () => ({
      instances: [...instances],
      readingAgeMs: Math.ceil(Math.min(computeReadingAge(), MAXIMUM_AGE_MS)),
    }),
    isReader: () => isReader() || computeReadingAge() > listLagMs,
    isReady: () => membership.isReady(clock.now()),
    isIsolated: () => membership.isIsolated(clock.now()),
    listPeers: () => membership.listPeers(),
    findOwner: serverId => membership.findOwner(serverId, clock.now()),
    getShare: (serverId, limit) =>
      membership.getShare(serverId, limit, clock.now()),
    findPeer: peerId => membership.findPeer(peerId),
  };
}
