/** The member task: heartbeats to peers, ownership and spread of file sets. */
import {create} from '@bufbuild/protobuf';
import {compareVersions} from '@buckthornbeam/config';
import type {FileSetVersion, Settings} from '@buckthornbeam/config';
import {createMembership} from '@buckthornbeam/membership';
import type {
  Heartbeat,
  ListedInstance,
  Membership,
  Peer,
  ServerLoad,
} from '@buckthornbeam/membership';
import {HeartbeatMessageSchema} from '@buckthornbeam/protocol';
import type {HeartbeatMessage} from '@buckthornbeam/protocol';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {Identity} from '../identity.js';
import type {PeerClients} from '../peer_clients.js';

/** Options of {@link createMember}. */
export interface MemberOptions {
  identity: Identity;
  settings: Settings;
  clock: Clock;
  logger: Logger;
  clients: PeerClients;
  getVersion: () => FileSetVersion | undefined;
  listLoads: () => ServerLoad[];
  isLeaving: () => boolean;
  /** Takes a bundle that a peer holds and this instance does not. */
  onBundle: (bundle: string, source: string) => void;
}

/** The member task. */
export interface Member {
  start(): void;
  stop(): void;
  applyInstances(instances: readonly ListedInstance[]): void;
  /** Answers a peer's heartbeat. */
  handleHeartbeat(request: HeartbeatMessage): HeartbeatMessage;
  listPeers(): Peer[];
  findOwner(serverId: string): string | undefined;
  /** How much of a server's limit this instance may use now; 0 for none. */
  getShare(serverId: string, limit: number): number;
  findPeer(instanceId: string): Peer | undefined;
}

function toHeartbeat(message: HeartbeatMessage): Heartbeat {
  return {
    instanceId: message.from?.id ?? '',
    incarnation: message.from?.incarnation ?? '',
    ready: message.ready,
    leaving: message.leaving,
    fileSet: message.fileSet && {
      revision: Number(message.fileSet.revision),
      digest: message.fileSet.digest,
    },
    loads: message.summaries.map(summary => ({
      serverId: summary.serverId,
      limit: summary.limit,
      inFlight: summary.inFlight,
      queued: summary.queued,
      expectedWaitMs: summary.expectedWaitMs,
      msPerToken: summary.msPerToken,
      phase: summary.phase,
      lowestTier: summary.lowestTier,
    })),
  };
}

/** Silence after which a peer is suspected, in heartbeats. */
const SUSPECT_AFTER_HEARTBEATS = 3;

/** Creates the member task. */
export function createMember(options: MemberOptions): Member {
  const {identity, settings, clock, logger, clients} = options;
  const {heartbeatMs, leaseMs} = settings.timing;
  const membership: Membership = createMembership({
    selfId: identity.instanceId,
    suspectAfterMs: heartbeatMs * SUSPECT_AFTER_HEARTBEATS,
    expireAfterMs: leaseMs,
  });
  let timer: NodeJS.Timeout | undefined;
  let sequence = 0n;

  function makeHeartbeat(): HeartbeatMessage {
    const version = options.getVersion();
    sequence += 1n;
    return create(HeartbeatMessageSchema, {
      from: {id: identity.instanceId, incarnation: identity.incarnation},
      sequence,
      ready: version !== undefined,
      leaving: options.isLeaving(),
      ...(version
        ? {
            fileSet: {
              revision: BigInt(version.revision),
              digest: version.digest,
            },
          }
        : {}),
      summaries: options.listLoads(),
    });
  }

  async function fetchNewerBundle(peer: Peer): Promise<void> {
    const version = options.getVersion();
    const isOlder =
      peer.fileSet !== undefined &&
      (version === undefined || compareVersions(peer.fileSet, version) > 0);
    if (!isOlder) {
      return;
    }
    const client = clients.getClient(peer.peerAddress);
    const response = await client.peer.fetchFileSet({});
    options.onBundle(Buffer.from(response.bundle).toString('utf8'), peer.id);
  }

  async function sendHeartbeat(peer: Peer): Promise<void> {
    try {
      const client = clients.getClient(peer.peerAddress);
      const response = await client.peer.heartbeat(makeHeartbeat(), {
        timeoutMs: heartbeatMs,
      });
      membership.applyHeartbeat(toHeartbeat(response), clock.now());
      await fetchNewerBundle(peer);
    } catch (error) {
      logger.debug('heartbeat_failed', {
        peer: peer.id,
        detail: (error as Error).message,
      });
    }
  }

  function runPeriod(): void {
    membership.expire(clock.now());
    for (const peer of membership.listPeers()) {
      void sendHeartbeat(peer);
    }
  }

  return {
    start: () => {
      timer = setInterval(runPeriod, heartbeatMs);
    },
    stop: () => clearInterval(timer),
    applyInstances: instances => {
      membership.applyList(instances);
      runPeriod();
    },
    handleHeartbeat: request => {
      membership.applyHeartbeat(toHeartbeat(request), clock.now());
      return makeHeartbeat();
    },
    listPeers: () => membership.listPeers(),
    findOwner: serverId => membership.findOwner(serverId),
    getShare: (serverId, limit) =>
      membership.findOwner(serverId) === identity.instanceId ? limit : 0,
    findPeer: instanceId =>
      membership.listPeers().find(peer => peer.id === instanceId),
  };
}
