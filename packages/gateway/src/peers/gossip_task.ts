/** Task that owns the datagram socket between the instances. */
import {createSocket} from 'node:dgram';
import type {PrefixLocations} from '@buckthornbeam/decisions';
import {createGossipTable} from '@buckthornbeam/membership';
import type {GossipRecord, GossipTable} from '@buckthornbeam/membership';
import {splitAddress} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {Knowledge} from '../state/cluster_state.js';
import type {ServerLoads} from '../state/server_loads.js';
import {decodeGossip, encodeGossip} from './gossip_message.js';
import type {GossipMessage} from './gossip_message.js';

/** Options of {@link createGossipTask}. */
export interface GossipTaskOptions {
  /** What this instance says of itself, without the round. */
  describeSelf: () => Omit<GossipRecord, 'round'>;
  seedAddresses: readonly string[];
  knowledge: Knowledge;
  loads: ServerLoads;
  locations: PrefixLocations;
  clock: Clock;
  logger: Logger;
  /** Interval of the rounds, in milliseconds. */
  intervalMs: number;
  /** A peer may have seen more than this instance. */
  onPeerAhead: (peerAddress: string, message: GossipMessage) => void;
  random?: () => number;
}

/** The task. */
export interface GossipTask {
  readonly table: GossipTable;
  start(): Promise<void>;
  /** Sends a round at once, after a change that peers need soon. */
  announce(): void;
  stop(): void;
}

/** Creates a task that has not started. */
export function createGossipTask(options: GossipTaskOptions): GossipTask {
  const {knowledge, loads, locations, clock, logger} = options;
  const {random = Math.random} = options;
  const self = options.describeSelf();
  const table = createGossipTable({
    selfId: self.instanceId,
    selfAddress: self.gossipAddress,
    seedAddresses: options.seedAddresses,
  });
  const socket = createSocket('udp4');
  const known = new Set<string>();
  let round = 0;
  let timer: NodeJS.Timeout | undefined;

  function buildMessage(now: number): GossipMessage {
    return {
      sender: {...options.describeSelf(), round},
      version: knowledge.getConfiguration()?.version ?? 0,
      revision: knowledge.getRevision(),
      digest: knowledge.computeDigest(),
      confirmedAgeMs: Math.max(0, knowledge.computeAge(now)),
      work: loads.buildReport(now),
      prefixPlaces: locations.takeUpdates(),
      relayed: table.pickRelayed(now, random),
      sightings: table.pickSightings(now, random),
    };
  }

  function sendRound(): void {
    const now = clock.now();
    round += 1;
    const bytes = encodeGossip(buildMessage(now));
    for (const address of table.pickTargets(now, random)) {
      const {host, port} = splitAddress(address);
      // A lost datagram is made up for by the next round.
      socket.send(bytes, port, host, () => undefined);
    }
    logMembers(now);
  }

  /** Logs instances that came or went. */
  function logMembers(now: number): void {
    const alive = new Set(
      table.listAlive(now).map(member => member.record.instanceId),
    );
    for (const id of alive) {
      if (!known.has(id)) {
        known.add(id);
        logger.info('peer_found', {peer: id});
      }
    }
    for (const id of known) {
      if (!alive.has(id)) {
        known.delete(id);
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
    table.receive(sender, message.relayed, now, message.sightings);
    locations.acceptUpdates(message.prefixPlaces, !table.isFullMesh(), now);
    loads.receiveReport(sender.instanceId, message.work, now);
    knowledge.confirmByPeer(version, confirmedAgeMs, now);
    options.onPeerAhead(sender.gossipAddress, message);
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
