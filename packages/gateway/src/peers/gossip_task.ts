/** Sends and receives gossip messages over a UDP socket. */
import {createSocket} from 'node:dgram';
import type {RemoteInfo} from 'node:dgram';
import type {
  PrefixLocations,
  PromptQuarantine,
  RoomShortages,
} from '@buckthornbeam/decisions';
import type {GossipRecord, GossipTable} from '@buckthornbeam/membership';
import {splitAddress} from '@buckthornbeam/shared';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {ClusterState} from '../state/cluster_state.js';
import type {CustomerSums} from '../state/customer_sums.js';
import type {ServerLoads} from '../state/server_loads.js';
import type {PauseDetector} from '../state/pause_detector.js';
import {createSuspensionDetector} from '../state/suspension.js';
import {decodeGossip, encodeGossip} from './gossip_message.js';
import type {GossipEnvelope, GossipMessage} from './gossip_message.js';
import {GOSSIP_ROUND_MS, createGossipNode} from './gossip_node.js';
import type {FleetSumExchange} from './fleet_sums.js';
import type {LimitExchange} from './gossip_node.js';
import type {GossipDatagram} from './message_builder.js';

export interface GossipTaskOptions {
  /** Current record of this instance; the task adds the round. */
  describeSelf: () => Omit<GossipRecord, 'round'>;
  seedAddresses: readonly string[];
  clusterState: ClusterState;
  loads: ServerLoads;
  locations: PrefixLocations;
  quarantine: PromptQuarantine;
  limits?: LimitExchange;
  /** Faults of servers; not exchanged if absent. */
  faults?: FleetSumExchange | undefined;
  /** Speeds of servers; not exchanged if absent. */
  speeds?: FleetSumExchange | undefined;
  customers?: CustomerSums;
  shortages?: RoomShortages;
  pauses: Pick<PauseDetector, 'checkPause' | 'computeWaitedMs'>;
  clock: Clock;
  logger: Logger;
  /**
   * Called for each valid message, after it was applied, with the address of the
   * instance that sent or forwarded it and whose cluster state it describes.
   */
  onMessage: (peerAddress: string, message: GossipMessage) => void;
  random?: () => number;
}

export interface GossipTask {
  readonly table: GossipTable;
  start(): Promise<void>;
  /** Sends a change of the own record immediately. */
  announce(): void;
  /** Sends a report soon if the own load has changed. */
  reportChange(): void;
  /** When a message of a peer was last accepted; -Infinity before the first. */
  getLastHeardAt(): number;
  stop(): void;
}

/**
 * Datagrams that arrive within this time after a suspension waited in the socket,
 * so that the ages in them are wrong.
 */
const BACKLOG_MS = 200;

/**
 * Raises the age of the cluster state in a message by the time for which the message
 * may have waited to be read: the sender stated the age as of its sending. An instance
 * that forwards the message passes the higher age on.
 */
export function addWaitedTime(
  envelope: GossipEnvelope,
  waitedMs: number,
): GossipEnvelope {
  const {message} = envelope;
  return waitedMs === 0
    ? envelope
    : {
        ...envelope,
        message: {
          ...message,
          confirmedAgeMs: message.confirmedAgeMs + waitedMs,
        },
      };
}

/** Creates a task; it opens no port before `start` is called. */
export function createGossipTask(options: GossipTaskOptions): GossipTask {
  const {clusterState, clock, logger, pauses} = options;
  const {random = Math.random} = options;
  const self = options.describeSelf();
  const node = createGossipNode({
    describeSelf: options.describeSelf,
    describeState: now => ({
      version: clusterState.getConfiguration()?.version ?? 0,
      revision: clusterState.getRevision(),
      digest: clusterState.computeDigest(),
      confirmedAgeMs: Math.max(0, clusterState.computeAge(now)),
    }),
    seedAddresses: options.seedAddresses,
    loads: options.loads,
    locations: options.locations,
    quarantine: options.quarantine,
    ...(options.limits ? {limits: options.limits} : {}),
    faults: options.faults,
    speeds: options.speeds,
    ...(options.customers ? {customers: options.customers} : {}),
    ...(options.shortages ? {shortages: options.shortages} : {}),
    random,
  });
  const {table} = node;
  const socket = createSocket('udp4');
  const suspension = createSuspensionDetector(clock);
  const loggedPeerIds = new Set<string>();
  let isLoggedPublishing = false;
  let ignoredUntil = -Infinity;
  let lastHeardAt = -Infinity;
  let timer: NodeJS.Timeout | undefined;
  let reportTimer: NodeJS.Timeout | undefined;

  function sendDatagrams(datagrams: readonly GossipDatagram[]): void {
    for (const datagram of datagrams) {
      const {host, port} = splitAddress(datagram.address);
      // Send errors are ignored: the next round replaces a lost datagram.
      socket.send(encodeGossip(datagram), port, host, () => undefined);
    }
  }

  /** Drops what was received before a suspension, whose age is not known. */
  function checkSuspension(now: number): void {
    if (suspension.hasJumped()) {
      ignoredUntil = now + BACKLOG_MS;
      node.clearReceived(now);
    }
  }

  function runRound(): void {
    const now = clock.now();
    checkSuspension(now);
    sendDatagrams(node.runRound(now));
    logChanges(now);
  }

  /** Logs the peers found and lost, and the role, since the last round. */
  function logChanges(now: number): void {
    const alive = new Set(
      table.listAlive(now).map(member => member.record.instanceId),
    );
    const found = [...alive].filter(id => !loggedPeerIds.has(id));
    const lost = [...loggedPeerIds].filter(id => !alive.has(id));
    if (found.length > 0) {
      found.forEach(id => loggedPeerIds.add(id));
      logger.info('peers_found', {peers: found.join(','), alive: alive.size});
    }
    if (lost.length > 0) {
      lost.forEach(id => loggedPeerIds.delete(id));
      logger.warn('peers_lost', {peers: lost.join(','), alive: alive.size});
    }
    if (node.isPublishing() !== isLoggedPublishing) {
      isLoggedPublishing = node.isPublishing();
      logger.info('load_publisher', {isPublishing: isLoggedPublishing});
    }
  }

  function handleMessage(bytes: Buffer, source: RemoteInfo): void {
    const now = clock.now();
    pauses.checkPause();
    checkSuspension(now);
    if (now < ignoredUntil) {
      return;
    }
    const received = decodeGossip(bytes);
    if (!received) {
      logger.debug('gossip_invalid', {bytes: bytes.length});
      return;
    }
    const envelope = addWaitedTime(received, pauses.computeWaitedMs());
    const {message} = envelope;
    const {isAccepted, datagrams} = node.receive(envelope, now);
    if (!isAccepted) {
      return;
    }
    lastHeardAt = now;
    sendDatagrams(datagrams);
    clusterState.confirmByPeer(message, now);
    if (envelope.hopDigest === message.digest) {
      // A fetch finds out the age by itself, so it does not depend on the wait.
      options.onMessage(`${source.address}:${source.port}`, received.message);
    }
  }

  function reportChange(): void {
    const delayMs = node.computeReportDelay(clock.now());
    if (timer && !reportTimer && delayMs !== undefined) {
      reportTimer = setTimeout(() => {
        reportTimer = undefined;
        sendDatagrams(node.buildChangedReport(clock.now()));
      }, delayMs);
    }
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
          runRound();
          timer = setInterval(runRound, GOSSIP_ROUND_MS);
          resolve();
        });
      }),
    announce: () => {
      // Sending would bind a socket that is not open yet to another port.
      if (timer) {
        sendDatagrams(node.announce(clock.now()));
      }
    },
    reportChange,
    getLastHeardAt: () => lastHeardAt,
    stop: () => {
      clearInterval(timer);
      clearTimeout(reportTimer);
      timer = undefined;
      socket.close();
    },
  };
}
