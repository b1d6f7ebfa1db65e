/**
 * The member task: exchanges heartbeats with peers, tracks server ownership and
 * fetches newer file sets and instance lists from peers.
 */
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
import {listHeartbeatTargets} from './peer_exchange.js';

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
  /** Receives a file set bundle that was fetched from the peer `source`. */
  onBundle: (bundle: string, source: string) => void;
}

/** The member task. */
export interface Member {
  start(): void;
  stop(): void;
  /** Applies an instance list that was confirmed at a monotonic time, in ms. */
  applyInstances(instances: readonly ListedInstance[], readAt: number): void;
  /** Applies the file set in force and announces it to the neighbours. */
  applyFileSet(set: FileSet): void;
  /** Sends a heartbeat with the current state to all neighbours at once. */
  sendStateToNeighbours(): Promise<void>;
  /** Applies a peer's heartbeat and returns this instance's own as response. */
  handleHeartbeat(request: HeartbeatMessage): HeartbeatMessage;
  /** Whether a heartbeat of the peer arrived within the suspicion timeout. */
  hasRecentHeartbeat(instanceId: string): boolean;
  /** Returns the instance list and the time since its last confirmation. */
  describeInstances(): {instances: ListedInstance[]; readingAgeMs: number};
  /**
   * Whether this instance has to read from the configuration service itself: it
   * is one of its data centre's readers, or its instance list is out of date.
   */
  isConfigurationReader(): boolean;
  isReady(): boolean;
  /**
   * Whether neither the configuration service nor a majority confirms the view.
   */
  isIsolated(): boolean;
  listPeers(): Peer[];
  findOwner(serverId: string): string | undefined;
  /**
   * Requests of a server's limit that this instance may use now; 0 for none.
   */
  getShare(serverId: string, limit: number): number;
  findPeer(instanceId: string): Peer | undefined;
}

/** Heartbeat intervals without a heartbeat until a peer is suspected. */
const SUSPECT_AFTER_HEARTBEATS = 3;

/**
 * Heartbeat intervals without a heartbeat from a neighbour until both instances
 * of the pair send heartbeats, not only its initiator.
 */
const BOTH_SEND_AFTER_HEARTBEATS = 1.5;

/** Members that are asked to probe a suspected one. */
const INDIRECT_PROBE_COUNT = 2;

/** Instances per data centre that read from the configuration service. */
const READERS_PER_DATA_CENTRE = 3;

/** Largest list age sent to peers; fits the 32-bit field of the message. */
const MAXIMUM_REPORTED_AGE_MS = 0x7fffffff;

const EMPTY_TOPOLOGY: Topology = {scopes: new Map(), servers: new Map()};

function hashInstanceList(instances: readonly ListedInstance[]): number {
  const instanceLines = instances.map(item =>
    [item.id, item.dataCentre, item.leaving].join(' '),
  );
  return hashToUint32(instanceLines.sort().join('\n'));
}

function toListedInstance(item: ListedInstance): ListedInstance {
  const {id, dataCentre, callerAddress, peerAddress, leaving} = item;
  return {id, dataCentre, callerAddress, peerAddress, leaving};
}

/** Creates the member task, not yet started. */
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

  function makeHeartbeatMessage(peerId: string): HeartbeatMessage {
    updateSelf();
    const heartbeat = membership.makeHeartbeat(peerId, clock.now());
    return encodeHeartbeat(heartbeat, listHash);
  }

  function applyHeartbeatMessage(message: HeartbeatMessage): void {
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

  function computeListAgeMs(): number {
    return membership.computeListAge(clock.now()) ?? Infinity;
  }

  /**
   * Fetches a peer's instance list if it differs and was confirmed later than
   * the local one. A reader with a recently confirmed list does not need it.
   */
  async function fetchNewerList(
    peer: Peer,
    message: HeartbeatMessage,
  ): Promise<void> {
    const agePlusOneMs = message.readingAgePlusOneMs;
    const isListCurrent =
      isDesignatedReader() && computeListAgeMs() <= listLagMs;
    const isFresher = agePlusOneMs > 0 && agePlusOneMs < computeListAgeMs();
    if (message.listHash === listHash || isListCurrent || !isFresher) {
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
      const response = await client.peer.heartbeat(
        makeHeartbeatMessage(peer.id),
        {timeoutMs: heartbeatMs},
      );
      applyHeartbeatMessage(response);
    } catch (error) {
      logPeerFailure('heartbeat_failed', peer, error);
      if (!membership.listNeighbours().includes(peer)) {
        membership.recordProbe(peer.id, false, clock.now());
      }
    }
  }

  async function probeIndirectly(suspect: Peer, prober: Peer): Promise<void> {
    try {
      const client = clients.getClient(prober.peerAddress);
      const response = await client.peer.probe(
        {targetId: suspect.id},
        {timeoutMs: heartbeatMs},
      );
      if (response.reachable) {
        membership.recordProbe(suspect.id, true, clock.now());
      }
    } catch (error) {
      logPeerFailure('probe_failed', prober, error);
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
          .slice(0, INDIRECT_PROBE_COUNT)
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

  function runHeartbeatPeriod(): void {
    updateSelf();
    const now = clock.now();
    membership.advance(now);
    logIsolation();
    listHeartbeatTargets({
      selfId: instanceId,
      membership,
      random,
      now,
      bothSendAfterMs: heartbeatMs * BOTH_SEND_AFTER_HEARTBEATS,
    }).forEach(peer => void sendHeartbeat(peer));
    probeSuspects();
  }

  async function sendStateToNeighbours(): Promise<void> {
    updateSelf();
    membership.advance(clock.now());
    await Promise.all(membership.listNeighbours().map(sendHeartbeat));
  }

  function applyView(): void {
    updateSelf();
    membership.applyList(instances, topology, clock.now());
    void sendStateToNeighbours();
  }

  function applyInstances(
    list: readonly ListedInstance[],
    readAt: number,
  ): void {
    membership.recordListConfirmation(readAt);
    const hash = hashInstanceList(list);
    if (hash !== listHash) {
      instances = list;
      listHash = hash;
      applyView();
    }
  }

  /**
   * Whether the ranking selects this instance; always true if it is unlisted or
   * leaving.
   */
  function isDesignatedReader(): boolean {
    const ids = instances
      .filter(item => item.dataCentre === dataCentre && !item.leaving)
      .map(item => item.id);
    const rankedIds = rankByRendezvous('reader', ids);
    return (
      !ids.includes(instanceId) ||
      rankedIds.indexOf(instanceId) < READERS_PER_DATA_CENTRE
    );
  }

  return {
    start: () => {
      timer = setInterval(runHeartbeatPeriod, heartbeatMs);
    },
    stop: () => clearInterval(timer),
    applyInstances,
    applyFileSet: set => {
      topology = buildTopology(set);
      applyView();
    },
    sendStateToNeighbours,
    handleHeartbeat: request => {
      applyHeartbeatMessage(request);
      return makeHeartbeatMessage(request.from?.id ?? '');
    },
    hasRecentHeartbeat: peerId => {
      const heardAt = membership.findPeer(peerId)?.lastHeartbeatAt;
      return heardAt !== undefined && clock.now() - heardAt < suspectAfterMs;
    },
    describeInstances: () => ({
      instances: [...instances],
      readingAgeMs: Math.ceil(
        Math.min(computeListAgeMs(), MAXIMUM_REPORTED_AGE_MS),
      ),
    }),
    isConfigurationReader: () =>
      isDesignatedReader() || computeListAgeMs() > listLagMs,
    isReady: () => membership.isReady(clock.now()),
    isIsolated: () => membership.isIsolated(clock.now()),
    listPeers: () => membership.listPeers(),
    findOwner: serverId => membership.findOwner(serverId, clock.now()),
    getShare: (serverId, limit) =>
      membership.getShare(serverId, limit, clock.now()),
    findPeer: peerId => membership.findPeer(peerId),
  };
}
