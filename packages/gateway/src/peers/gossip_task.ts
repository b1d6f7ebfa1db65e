/** Sends and receives gossip messages over a UDP socket. */
import {createSocket} from 'node:dgram';
import type {PrefixLocations} from '@buckthornbeam/decisions';
import {createGossipTable} from '@buckthornbeam/membership';
import type {GossipRecord, GossipTable} from '@buckthornbeam/membership';
import {splitAddress} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {ClusterState} from '../state/cluster_state.js';
import type {ServerLoads} from '../state/server_loads.js';
import {decodeGossip, encodeGossip} from './gossip_message.js';
import type {GossipMessage} from './gossip_message.js';

export interface GossipTaskOptions {
  /** Current record of this instance; the task adds the round. */
  describeSelf: () => Omit<GossipRecord, 'round'>;
  seedAddresses: readonly string[];
  clusterState: ClusterState;
  loads: ServerLoads;
  locations: PrefixLocations;
  clock: Clock;
  logger: Logger;
  /** Time between two rounds. */
  intervalMs: number;
  /** Called for each valid message of a peer, after it was applied. */
  onMessage: (peerAddress: string, message: GossipMessage) => void;
  random?: () => number;
}

export interface GossipTask {
  readonly table: GossipTable;
  start(): Promise<void>;
  /** Sends an extra round immediately, so that peers receive a change early. */
  announce(): void;
  stop(): void;
}

/** Creates a task; it opens no port before `start` is called. */
export function createGossipTask(options: GossipTaskOptions): GossipTask {
  const {clusterState, loads, locations, clock, logger} = options;
  const {random = Math.random} = options;
  const self = options.describeSelf();
  const table = createGossipTable({
    selfId: self.instanceId,
    selfAddress: self.gossipAddress,
    seedAddresses: options.seedAddresses,
  });
  const socket = createSocket('udp4');
  const loggedPeerIds = new Set<string>();
  let round = 0;
  let timer: NodeJS.Timeout | undefined;

  function buildMessage(now: number): GossipMessage {
    return {
      sender: {...options.describeSelf(), round},
      version: clusterState.getConfiguration()?.version ?? 0,
      revision: clusterState.getRevision(),
      digest: clusterState.computeDigest(),
      confirmedAgeMs: Math.max(0, clusterState.computeAge(now)),
      loadReport: loads.buildReport(now),
      cacheLocations: locations.takeUpdates(),
      relayed: table.pickRelayed(now, random),
      livenessReports: table.pickLivenessReports(now, random),
    };
  }

  function sendRound(): void {
    const now = clock.now();
    round += 1;
    const bytes = encodeGossip(buildMessage(now));
    for (const address of table.pickTargets(now, random)) {
      const {host, port} = splitAddress(address);
      // Send errors are ignored: the next round replaces a lost datagram.
      socket.send(bytes, port, host, () => undefined);
    }
    logMembershipChanges(now);
  }

  /** Logs peers that joined or were lost since the last round. */
  function logMembershipChanges(now: number): void {
    const alive = new Set(
      table.listAlive(now).map(member => member.record.instanceId),
    );
    for (const id of alive) {
      if (!loggedPeerIds.has(id)) {
        loggedPeerIds.add(id);
        logger.info('peer_found', {peer: id});
      }
    }
    for (const id of loggedPeerIds) {
      if (!alive.has(id)) {
        loggedPeerIds.delete(id);
        logger.warn('peer_lost', {peer: id});
      }
    }
  }

  function handleMessage(bytes: Buffer): void {
    const message = decodeGossip(bytes);
    if (!message) {
      logger.debug('gossip_invalid', {bytes: bytes.length});
      return;
    }
    const now = clock.now();
    const {sender, version, confirmedAgeMs} = message;
    if (sender.instanceId === self.instanceId) {
      return;
    }
    table.receive(sender, message.relayed, now, message.livenessReports);
    locations.acceptUpdates(message.cacheLocations, !table.isFullMesh(), now);
    loads.receiveReport(sender.instanceId, message.loadReport, now);
    clusterState.confirmByPeer(version, confirmedAgeMs, now);
    options.onMessage(sender.gossipAddress, message);
  }

  return {
    table,
    start: () =>
      new Promise((resolve, reject) => {
        const {host, port} = splitAddress(self.gossipAddress);
        socket.once('error', reject);
        socket.on('message', handleMessage);
        socket.bind(port, host, () => {
          socket.removeListener('error', reject);
          socket.on('error', error => {
            logger.warn('gossip_socket_error', {reason: error.message});
          });
          sendRound();
          timer = setInterval(sendRound, options.intervalMs);
          resolve();
        });
      }),
    announce: sendRound,
    stop: () => {
      clearInterval(timer);
      socket.close();
    },
  };
}
