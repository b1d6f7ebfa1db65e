/**
 * Simulates a fleet: instances that select servers with the gateway's own code
 * and exchange load reports and prefix locations by gossip, without a network.
 */
import {createPrefixLocations} from '@buckthornbeam/decisions';
import type {PrefixLocations} from '@buckthornbeam/decisions';
import {
  RouteKind,
  createServerActivity,
  createServerLoads,
  createServerSelection,
} from '@buckthornbeam/gateway';
import type {
  TrackedServer,
  RequestMetadata,
  Route,
  SelectedServer,
  ServerLoads,
  ServerSelection,
  Service,
} from '@buckthornbeam/gateway';
import {pickSample} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';
import type {EventQueue} from './event_queue.js';
import {createSimulatedEngine} from './engine_model.js';
import type {SimulatedEngine, EngineProfile} from './engine.js';
import type {LoadRequest, RequestKind} from './load_generator.js';

/** Options of {@link createSimulatedFleet}. */
export interface SimulatedFleetOptions {
  eventQueue: EventQueue;
  random: RandomSource;
  instances: number;
  servers: number;
  profile: EngineProfile;
  /**
   * Ratios of step times to those of the profile, assigned to the servers in
   * rotation.
   */
  stepTimeRatios: readonly number[];
  /** Interval at which an instance sends gossip, in milliseconds. */
  gossipMs: number;
  /** Peers that receive each gossip message. */
  fanout: number;
  /** Ratio of the servers reserved for short prompts to all servers. */
  shortPromptRatio: number;
}

export interface SimulatedInstance {
  id: string;
  selection: ServerSelection;
}

export interface SimulatedFleet {
  readonly instances: readonly SimulatedInstance[];
  readonly engines: ReadonlyMap<string, SimulatedEngine>;
  /** Selects a server as `instance` does; undefined if it finds none now. */
  select(
    instance: SimulatedInstance,
    request: LoadRequest,
    remainingMs: number,
    excluded: ReadonlySet<string>,
  ): SelectedServer | undefined;
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
    isPublic: true,
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

/** Creates a fleet and schedules its gossip. */
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

  interface GossipingInstance extends SimulatedInstance {
    loads: ServerLoads;
    locations: PrefixLocations;
  }

  function createInstance(id: string): GossipingInstance {
    const loads = createServerLoads();
    const locations = createPrefixLocations();
    const selection = createServerSelection({
      selfId: id,
      dataCentre: 'a',
      regions: {},
      clusterState,
      loads,
      activity: createServerActivity(),
      locations,
      prefillTokensPerMs: profile.prefillTokensPerMs,
      shortPromptRatio: options.shortPromptRatio,
      listInstances: () => instanceIds,
      coldOverage: 1,
      coldSlack: 0,
      random: () => random.nextFloat(),
    });
    return {id, loads, locations, selection};
  }

  const instances = instanceIds.map(createInstance);

  function sendGossip(sender: GossipingInstance): void {
    const report = sender.loads.buildReport(eventQueue.now);
    const updates = sender.locations.takeUpdates();
    const peers = instances.filter(instance => instance !== sender);
    const isForwarded = peers.length > options.fanout;
    const recipients = pickSample(peers, options.fanout, () =>
      random.nextFloat(),
    );
    eventQueue.runAt(eventQueue.now + GOSSIP_DELAY_MS, () => {
      for (const {loads, locations} of recipients) {
        loads.receiveReport(sender.id, report, eventQueue.now);
        locations.acceptUpdates(updates, isForwarded, eventQueue.now);
      }
    });
    eventQueue.runAt(eventQueue.now + options.gossipMs, () =>
      sendGossip(sender),
    );
  }

  for (const instance of instances) {
    const firstAt = random.nextFloat() * options.gossipMs;
    eventQueue.runAt(firstAt, () => sendGossip(instance));
  }

  return {
    instances,
    engines,
    select: (instance, request, remainingMs, excluded) => {
      const {targetMs, pauseMs, priority} = request.kind;
      return instance.selection.select(
        buildRoute(request.kind),
        buildMetadata(request),
        excluded,
        {targetMs, pauseMs, remainingMs, priority},
        eventQueue.now,
      );
    },
  };
}
