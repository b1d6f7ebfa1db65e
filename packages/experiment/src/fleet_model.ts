/**
 * Simulates a fleet: instances that select servers with the gateway's own code
 * and exchange load reports and prefix locations by gossip, without a network.
 */
import {
  createPrefixLocations,
  createPromptQuarantine,
} from '@buckthornbeam/decisions';

import type {GossipRecord} from '@buckthornbeam/membership';
import {
  GOSSIP_ROUND_MS,
  RouteKind,
  createGossipNode,
  createServerActivity,
  createServerLoads,
  createServerSelection,
  getUrgencyRanks,
} from '@buckthornbeam/gateway';
import type {
  BackendServer,
  GossipDatagram,
  GossipNode,
  TrackedServer,
  Customer,
  RequestMetadata,
  RequestUrgency,
  Route,
  SelectedServer,
  ServerLoads,
  ServerSelection,
  Service,
  Spreading,
} from '@buckthornbeam/gateway';
import {hashToUint32} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';
import {createStalenessTracker} from './staleness.js';
import type {Staleness} from './staleness.js';
import type {EventQueue} from './event_queue.js';
import {createSimulatedEngine} from './engine_model.js';
import type {SimulatedEngine, EngineProfile} from './engine.js';
import {createLimitExchange, createTrackers} from './limit_division.js';
import type {LimitDivision} from './limit_division.js';
import {createStatedNeeds} from './stated_needs.js';
import type {SentAgainst} from './stated_needs.js';
import type {LoadRequest, RequestKind} from './load_generator.js';

/** Options of {@link createSimulatedFleet}. */
export interface SimulatedFleetOptions {
  eventQueue: EventQueue;
  random: RandomSource;
  instances: number;
  servers: number;
  profile: EngineProfile;
  kinds: readonly RequestKind[];
  /** Priorities of the customers, who send equally many requests; may be empty. */
  customerPriorities: readonly number[];
  /**
   * Ratios of step times to those of the profile, assigned to the servers in
   * rotation.
   */
  stepTimeRatios: readonly number[];
  /** Data centres, to which the instances are assigned in rotation. */
  dataCentres: number;
  /** Ratio of the servers reserved for short prompts to all servers. */
  shortPromptRatio: number;
  /** How servers are chosen by load reports. */
  spreading: Spreading;
  limitDivision: LimitDivision;
}

export interface SimulatedInstance {
  id: string;
  selection: ServerSelection;
  loads: ServerLoads;
}

export interface SimulatedFleet {
  readonly instances: readonly SimulatedInstance[];
  readonly engines: ReadonlyMap<string, SimulatedEngine>;
  /** Ranks a request by the priorities of its kind and customer. */
  rank(request: LoadRequest): RequestUrgency;
  /** Selects a server as `instance` does; undefined if it finds none now. */
  select(
    instance: SimulatedInstance,
    request: LoadRequest,
    remainingMs: number,
    excluded: ReadonlySet<string>,
  ): SelectedServer | undefined;
  /** Passes on to the instance what an answer of the server states. */
  recordAnswer(
    instance: SimulatedInstance,
    server: BackendServer,
    answer: {sentAt: number; isRefusal: boolean},
  ): void;
  /** Starts a server that is down, as a new life under the same id. */
  restartServer(serverId: string): void;
  /** Counts the requests that instances sent against what servers stated to them. */
  countSentAgainst(): SentAgainst;
  /** Describes the loads by which servers were chosen. */
  describeStaleness(): Staleness;
}

const SERVICE_NAME = 'engines';
/** Network delay of a gossip message between two instances. */
const GOSSIP_DELAY_MS = 1;
/** Connection limit of a server; the load never reaches it. */
const MAXIMUM_CONNECTIONS = 100_000;

function buildRoute(kind: RequestKind): Route {
  return {
    name: kind.name,
    host: 'experiment',
    pathPrefix: '/',
    kind: RouteKind.STREAM,
    targets: [{serviceName: SERVICE_NAME, weight: 1}],
    timeoutMs: kind.deadlineMs,
    targetLatencyMs: kind.targetMs,
    eventPauseMs: kind.pauseMs,
    priority: kind.priority,
    maximumServers: 1,
    isPublic: false,
    isResumable: false,
    allowedRegions: [],
  };
}

function buildMetadata(request: LoadRequest): RequestMetadata {
  const promptTokens = request.blocks.reduce(
    (sum, block) => sum + block.tokens,
    0,
  );
  return {
    id: request.id,
    host: 'experiment',
    path: '/',
    deadlineMs: request.kind.deadlineMs,
    apiKey: undefined,
    lastEventId: undefined,
    generation: {
      model: 'model',
      promptTokens,
      maximumOutputTokens: request.outputTokens,
      expectedOutputTokens: request.expectedOutputTokens,
      blocks: request.blocks,
    },
  };
}

/** Creates a fleet of instances that know each other, and schedules its gossip. */
export function createSimulatedFleet(
  options: SimulatedFleetOptions,
): SimulatedFleet {
  const {eventQueue, random, profile} = options;
  const service: Service = {
    name: SERVICE_NAME,
    maximumConnections: MAXIMUM_CONNECTIONS,
    coldMs: 0,
    coldRequestsPerSecond: 0,
    engine: {
      slots: profile.slots,
      kvCacheTokens: profile.kvCacheTokens,
      copiedTokensPerMs: profile.copiedTokensPerMs,
      tokensPerEvent: profile.tokensPerEvent,
    },
  };
  const servers: TrackedServer[] = Array.from(
    {length: options.servers},
    (_, index) => ({
      server: {
        id: `server-${index}`,
        serviceName: SERVICE_NAME,
        address: `server-${index}`,
        dataCentre: 'a',
        isDraining: false,
        slots: profile.slots,
        coldLeftMs: 0,
        startedAt: 1,
      },
      coldUntil: 0,
      removalDueAt: undefined,
    }),
  );
  const clusterState = {
    getConfiguration: () => ({services: new Map([[SERVICE_NAME, service]])}),
    listServers: () => servers,
    listServerIds: () => new Set(servers.map(({server}) => server.id)),
    findServer: (id: string) => servers.find(({server}) => server.id === id),
  };
  const engines = new Map(
    servers.map(({server}, index) => [
      server.id,
      createSimulatedEngine({
        profile,
        eventQueue,
        stepTimeRatio:
          options.stepTimeRatios[index % options.stepTimeRatios.length]!,
      }),
    ]),
  );
  const instanceIds = Array.from(
    {length: options.instances},
    (_, index) => `instance-${index}`,
  );

  function buildRecord(
    id: string,
    dataCentre: string,
  ): Omit<GossipRecord, 'round'> {
    return {
      instanceId: id,
      incarnation: id,
      gossipAddress: id,
      callerAddress: id,
      dataCentre,
      isReady: true,
      isLeaving: false,
    };
  }

  interface GossipingInstance extends SimulatedInstance {
    node: GossipNode;
    dataCentre: string;
    /** Whether a report of a changed load is scheduled. */
    isReportScheduled: boolean;
  }

  const createTracker = createTrackers(options.limitDivision);

  function createInstance(id: string, index: number): GossipingInstance {
    const dataCentre = `centre-${index % options.dataCentres}`;
    const loads = createServerLoads({onChange: () => scheduleReport(instance)});
    const locations = createPrefixLocations();
    const nextFloat = () => random.nextFloat();
    const statements = createTracker();
    const selection = createServerSelection({
      selfId: id,
      dataCentre,
      regions: {},
      clusterState,
      loads,
      activity: createServerActivity(),
      locations,
      prefillTokensPerMs: profile.prefillTokensPerMs,
      shortPromptRatio: options.shortPromptRatio,
      spreading: options.spreading,
      listInstances: () => instanceIds,
      coldOverage: 1,
      coldSlack: 0,
      statements,
      random: nextFloat,
    });
    const node = createGossipNode({
      describeSelf: () => buildRecord(id, dataCentre),
      describeState: () => ({
        version: 1,
        revision: 1,
        digest: 1,
        confirmedAgeMs: 0,
      }),
      seedAddresses: instanceIds.slice(0, 3),
      loads,
      locations,
      quarantine: createPromptQuarantine({
        selfId: id,
        listInstances: () => instanceIds,
      }),
      limits: createLimitExchange(statements, selection, servers),
      random: nextFloat,
    });
    const instance = {
      id,
      dataCentre,
      selection,
      loads,
      node,
      isReportScheduled: false,
    };
    return instance;
  }

  const routes = new Map(
    options.kinds.map(kind => [kind.name, buildRoute(kind)]),
  );
  const customers = options.customerPriorities.map(
    (priority, index): Customer => ({name: `customer-${index}`, priority}),
  );
  const ranks = getUrgencyRanks({
    routes: [...routes.values()],
    customersByKey:
      customers.length > 0
        ? new Map(customers.map(item => [item.name, item]))
        : undefined,
  });

  function rankRequest({id, kind}: LoadRequest): RequestUrgency {
    return ranks.rank(
      routes.get(kind.name)!,
      customers[hashToUint32(id) % customers.length],
    );
  }

  const instances = instanceIds.map(createInstance);
  const staleness = createStalenessTracker({
    serverIds: servers.map(({server}) => server.id),
    loads: instances.map(({loads}) => loads),
  });
  const instancesByAddress = new Map(
    instances.map(instance => [instance.id, instance]),
  );

  // The fleet has been running: all instances are known to each other.
  for (const {node} of instances) {
    for (const {id, dataCentre} of instances) {
      const record = {...buildRecord(id, dataCentre), round: 0};
      node.table.acceptRelayed({record, ageMs: 0}, eventQueue.now);
    }
  }

  function sendDatagrams(datagrams: readonly GossipDatagram[]): void {
    if (datagrams.length > 0) {
      eventQueue.runAt(eventQueue.now + GOSSIP_DELAY_MS, () => {
        for (const datagram of datagrams) {
          const {node} = instancesByAddress.get(datagram.address)!;
          sendDatagrams(node.receive(datagram, eventQueue.now).datagrams);
        }
      });
    }
  }

  function scheduleReport(instance: GossipingInstance): void {
    const delayMs = instance.node.computeReportDelay(eventQueue.now);
    if (delayMs !== undefined && !instance.isReportScheduled) {
      instance.isReportScheduled = true;
      eventQueue.runAt(eventQueue.now + delayMs, () => {
        instance.isReportScheduled = false;
        sendDatagrams(instance.node.buildChangedReport(eventQueue.now));
      });
    }
  }

  function runRound(instance: GossipingInstance): void {
    instance.selection.prune(eventQueue.now);
    sendDatagrams(instance.node.runRound(eventQueue.now));
    eventQueue.runAt(eventQueue.now + GOSSIP_ROUND_MS, () =>
      runRound(instance),
    );
  }

  for (const instance of instances) {
    const firstAt = random.nextFloat() * GOSSIP_ROUND_MS;
    eventQueue.runAt(firstAt, () => runRound(instance));
  }

  const statedNeeds = createStatedNeeds();

  return {
    instances,
    engines,
    rank: rankRequest,
    countSentAgainst: () => statedNeeds.count(),
    describeStaleness: () => staleness.describe(),
    recordAnswer: ({id, selection}, server, {sentAt, isRefusal}) => {
      const statement = engines.get(server.id)!.buildStatement(isRefusal);
      const answer = {requestId: id, sentAt, headAt: eventQueue.now};
      selection.recordStatement(server, statement, answer);
      statedNeeds.record(id, server, statement, eventQueue.now);
    },
    restartServer: serverId => {
      const tracked = servers.find(({server}) => server.id === serverId)!;
      tracked.server = {...tracked.server, startedAt: eventQueue.now};
      engines.get(serverId)!.start();
    },
    select: (instance, request, remainingMs, excluded) => {
      const {targetMs, pauseMs} = request.kind;
      staleness.observe(instance.loads, eventQueue.now);
      const selected = instance.selection.select(
        routes.get(request.kind.name)!,
        buildMetadata(request),
        excluded,
        {
          targetMs,
          pauseMs,
          remainingMs,
          urgencyPosition: rankRequest(request).position,
        },
        eventQueue.now,
      );
      if (selected) {
        statedNeeds.recordSent(instance.id, selected.server, eventQueue.now);
      }
      return selected;
    },
  };
}
