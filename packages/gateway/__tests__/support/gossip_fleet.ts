/** A fleet of gossip nodes on simulated time and a network that loses datagrams. */
import {
  createPrefixLocations,
  createPromptQuarantine,
} from '@buckthornbeam/decisions';
import type {PrefixLocations, PromptQuarantine} from '@buckthornbeam/decisions';
import {createRandom} from '@buckthornbeam/shared';
import {encodeGossip} from '../../src/peers/gossip_message.js';
import {
  GOSSIP_ROUND_MS,
  createGossipNode,
} from '../../src/peers/gossip_node.js';
import type {GossipNode} from '../../src/peers/gossip_node.js';
import type {
  GossipDatagram,
  GossipState,
} from '../../src/peers/message_builder.js';
import type {CustomerSums} from '../../src/state/customer_sums.js';
import {createServerLoads} from '../../src/state/server_loads.js';
import type {ServerLoads} from '../../src/state/server_loads.js';

export interface GossipFleetOptions {
  count: number;
  dataCentres?: number;
  /** Ratio of the datagrams that are lost. */
  lossRatio?: number;
  seed?: number;
  /** Describes the cluster state of an instance. */
  describeState?: (instance: FleetInstance, now: number) => GossipState;
  /** Creates the sums of customers of an instance; none if missing. */
  createCustomers?: (instance: FleetInstance) => CustomerSums;
  /** Called for each accepted message. */
  onMessage?: (
    receiver: FleetInstance,
    datagram: GossipDatagram,
    now: number,
  ) => void;
  /** Called for each running instance in each tick. */
  onTick?: (instance: FleetInstance, now: number) => void;
}

export interface FleetInstance {
  id: string;
  dataCentre: string;
  loads: ServerLoads;
  locations: PrefixLocations;
  quarantine: PromptQuarantine;
  node: GossipNode;
  isRunning: boolean;
  /** Receives and sends nothing, but runs. */
  isCut: boolean;
  isReady: boolean;
  isLeaving: boolean;
  /** When the store last confirmed its state, in simulated time. */
  confirmedAt: number;
  receivedMessages: number;
  sentBytes: number;
}

export interface GossipFleet {
  readonly instances: readonly FleetInstance[];
  readonly now: number;
  /** Advances the simulated time. */
  run(durationMs: number): void;
  /** Starts an instance again as a new incarnation that knows only the seeds. */
  restart(instance: FleetInstance): void;
  /** Ids that the instance lists as alive, without its own. */
  listAlive(instance: FleetInstance): string[];
  /** Advances until the condition holds; returns the time that it took. */
  runUntil(condition: () => boolean, limitMs: number): number;
  /** Sets the counters to 0 and counts bytes from now on, which is slow. */
  startCounting(): void;
}

/** Resolution of the simulated time; also the delay of a datagram. */
const TICK_MS = 5;

export function createGossipFleet({
  count,
  dataCentres = 6,
  lossRatio = 0,
  seed = 1,
  describeState = (instance, time) => ({
    version: 1,
    revision: 1,
    digest: 1,
    confirmedAgeMs: time - instance.confirmedAt,
  }),
  createCustomers,
  onMessage,
  onTick,
}: GossipFleetOptions): GossipFleet {
  const random = createRandom(seed);
  const nextFloat = () => random.nextFloat();
  const seeds = [0, 1, 2].map(index => buildAddress(`entry-${index}`));
  const starts = new Map<FleetInstance, number>();
  const reportsDue = new Map<FleetInstance, number>();
  let underWay: GossipDatagram[] = [];
  let now = 0;
  let incarnations = 0;
  let areBytesCounted = false;

  function buildAddress(id: string): string {
    return `${id}:1`;
  }

  function createNode(instance: FleetInstance): void {
    incarnations += 1;
    const incarnation = `start-${incarnations}`;
    instance.loads = createServerLoads({
      onChange: () => {
        const delayMs = instance.node.computeReportDelay(now);
        if (delayMs !== undefined && !reportsDue.has(instance)) {
          reportsDue.set(instance, now + delayMs);
        }
      },
    });
    instance.locations = createPrefixLocations({maximumLocations: 100});
    instance.quarantine = createPromptQuarantine({
      selfId: instance.id,
      listInstances: () => instances.map(({id}) => id),
    });
    instance.node = createGossipNode({
      describeSelf: () => ({
        instanceId: instance.id,
        incarnation,
        gossipAddress: buildAddress(instance.id),
        callerAddress: `${instance.id}:2`,
        dataCentre: instance.dataCentre,
        isReady: instance.isReady,
        isLeaving: instance.isLeaving,
      }),
      describeState: time => describeState(instance, time),
      seedAddresses: seeds,
      loads: instance.loads,
      locations: instance.locations,
      quarantine: instance.quarantine,
      ...(createCustomers ? {customers: createCustomers(instance)} : {}),
      random: nextFloat,
    });
    starts.set(instance, now + Math.floor(nextFloat() * GOSSIP_ROUND_MS));
  }

  const instances = Array.from({length: count}, (_, index) => {
    const instance = {
      id: `entry-${index}`,
      dataCentre: `centre-${index % dataCentres}`,
      isRunning: true,
      isCut: false,
      isReady: true,
      isLeaving: false,
      confirmedAt: 0,
      receivedMessages: 0,
      sentBytes: 0,
    } as FleetInstance;
    createNode(instance);
    return instance;
  });
  const byAddress = new Map(
    instances.map(instance => [buildAddress(instance.id), instance]),
  );

  function send(
    sender: FleetInstance,
    datagrams: readonly GossipDatagram[],
  ): void {
    for (const datagram of datagrams) {
      if (areBytesCounted) {
        sender.sentBytes += encodeGossip(datagram).length;
      }
      if (!sender.isCut && nextFloat() >= lossRatio) {
        underWay.push(datagram);
      }
    }
  }

  function handleDatagrams(datagrams: readonly GossipDatagram[]): void {
    for (const datagram of datagrams) {
      const receiver = byAddress.get(datagram.address);
      if (receiver?.isRunning && !receiver.isCut) {
        receiver.receivedMessages += 1;
        const result = receiver.node.receive(datagram, now);
        const {sender, confirmedAgeMs} = datagram.message;
        if (result.isAccepted && sender.instanceId !== receiver.id) {
          receiver.confirmedAt = Math.max(
            receiver.confirmedAt,
            now - confirmedAgeMs,
          );
        }
        if (result.isAccepted) {
          onMessage?.(receiver, datagram, now);
        }
        send(receiver, result.datagrams);
      }
    }
  }

  function runInstance(instance: FleetInstance): void {
    if ((now - starts.get(instance)!) % GOSSIP_ROUND_MS < TICK_MS) {
      send(instance, instance.node.runRound(now));
    }
    const reportDueAt = reportsDue.get(instance);
    if (reportDueAt !== undefined && reportDueAt <= now) {
      reportsDue.delete(instance);
      send(instance, instance.node.buildChangedReport(now));
    }
  }

  function runTick(): void {
    now += TICK_MS;
    const delivered = underWay;
    underWay = [];
    handleDatagrams(delivered);
    for (const instance of instances) {
      if (instance.isRunning && now >= starts.get(instance)!) {
        runInstance(instance);
        onTick?.(instance, now);
      }
    }
  }

  function run(durationMs: number): void {
    const endsAt = now + durationMs;
    while (now < endsAt) {
      runTick();
    }
  }

  return {
    instances,
    get now() {
      return now;
    },
    run,
    restart: instance => {
      instance.isRunning = true;
      createNode(instance);
    },
    listAlive: ({node}) =>
      node.table.listAlive(now).map(member => member.record.instanceId),
    runUntil: (condition, limitMs) => {
      const startedAt = now;
      while (!condition() && now - startedAt < limitMs) {
        runTick();
      }
      return condition() ? now - startedAt : Infinity;
    },
    startCounting: () => {
      areBytesCounted = true;
      for (const instance of instances) {
        instance.receivedMessages = 0;
        instance.sentBytes = 0;
      }
    },
  };
}
