/**
 * Model of a fleet: instances that choose servers by the gateway's own
 * selection and tell each other of their work by gossip, without a network.
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
  KnownServer,
  RequestFacts,
  Route,
  SelectedServer,
  ServerLoads,
  ServerSelection,
  Service,
} from '@buckthornbeam/gateway';
import {pickSample} from '@buckthornbeam/shared';
import type {RandomSource} from '@buckthornbeam/shared';
import type {Agenda} from './agenda.js';
import {createEngineModel} from './engine_model.js';
import type {EngineModel, EngineProfile} from './engine.js';
import type {LoadRequest, RequestKind} from './load_model.js';

/** Options of {@link createFleetModel}. */
export interface FleetOptions {
  agenda: Agenda;
  random: RandomSource;
  instances: number;
  servers: number;
  profile: EngineProfile;
  /** Factors on the step time of the servers, in turn. */
  slowness: readonly number[];
  /** Interval of gossip, in milliseconds. */
  gossipMs: number;
  /** Peers that a round of gossip reaches. */
  fanout: number;
  /** Part of the model servers that is set apart for short prompts. */
  shortPromptPart: number;
}

/** An instance of the model. */
export interface ModelInstance {
  id: string;
  selection: ServerSelection;
}

/** A fleet. */
export interface FleetModel {
  readonly instances: readonly ModelInstance[];
  readonly engines: ReadonlyMap<string, EngineModel>;
  select(
    instance: ModelInstance,
    request: LoadRequest,
    leftMs: number,
    excluded: ReadonlySet<string>,
  ): SelectedServer | undefined;
}

const SERVICE = 'engines';
/** Time that a datagram takes between two instances, in milliseconds. */
const DATAGRAM_MS = 1;
/** Connections that a server accepts; more than the load ever opens. */
const MAXIMUM_CONNECTIONS = 100_000;

function buildRoute(kind: RequestKind): Route {
  return {
    name: kind.name,
    host: 'experiment',
    pathPrefix: '/',
    kind: RouteKind.STREAM,
    targets: [{serviceName: SERVICE, weight: 1}],
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

function buildFacts(request: LoadRequest): RequestFacts {
  const promptTokens = request.parts.reduce(
    (sum, part) => sum + part.tokens,
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
      parts: request.parts,
    },
  };
}

/** Creates a fleet and starts its gossip. */
export function createFleetModel(options: FleetOptions): FleetModel {
  const {agenda, random, profile} = options;
  const service: Service = {
    name: SERVICE,
    maximumConnections: MAXIMUM_CONNECTIONS,
    coldMs: 0,
    coldRequestsPerSecond: 0,
    engine: {
      slots: profile.slots,
      memoryTokens: profile.memoryTokens,
      copiedTokensPerMs: profile.copiedTokensPerMs,
      tokensPerEvent: profile.tokensPerEvent,
    },
  };
  const servers: KnownServer[] = Array.from(
    {length: options.servers},
    (_, index) => ({
      server: {
        id: `server-${index}`,
        serviceName: SERVICE,
        address: `server-${index}`,
        dataCentre: 'a',
        isDraining: false,
        slots: profile.slots,
        coldLeftMs: 0,
        startedAt: 1,
      },
      coldUntil: 0,
      lapsesAt: undefined,
    }),
  );
  const knowledge = {
    getConfiguration: () => ({services: new Map([[SERVICE, service]])}),
    listServers: () => servers,
    listServerIds: () => new Set(servers.map(({server}) => server.id)),
  };
  const engines = new Map(
    servers.map(({server}, index) => [
      server.id,
      createEngineModel({
        profile,
        agenda,
        slowness: options.slowness[index % options.slowness.length]!,
      }),
    ]),
  );
  const ids = Array.from(
    {length: options.instances},
    (_, index) => `instance-${index}`,
  );

  interface FullInstance extends ModelInstance {
    loads: ServerLoads;
    locations: PrefixLocations;
  }

  function createInstance(id: string): FullInstance {
    const loads = createServerLoads();
    const locations = createPrefixLocations();
    const selection = createServerSelection({
      selfId: id,
      dataCentre: 'a',
      regions: {},
      knowledge,
      loads,
      activity: createServerActivity(),
      locations,
      readingTokensPerMs: profile.readingTokensPerMs,
      shortPromptPart: options.shortPromptPart,
      listInstances: () => ids,
      coldOverage: 1,
      coldSlack: 0,
      random: () => random.nextFloat(),
    });
    return {id, loads, locations, selection};
  }

  const instances = ids.map(createInstance);

  function sendRound(sender: FullInstance): void {
    const report = sender.loads.buildReport(agenda.now);
    const updates = sender.locations.takeUpdates();
    const others = instances.filter(instance => instance !== sender);
    const isPassedOn = others.length > options.fanout;
    const peers = pickSample(others, options.fanout, () => random.nextFloat());
    agenda.runAt(agenda.now + DATAGRAM_MS, () => {
      for (const {loads, locations} of peers) {
        loads.receiveReport(sender.id, report, agenda.now);
        locations.acceptUpdates(updates, isPassedOn, agenda.now);
      }
    });
    agenda.runAt(agenda.now + options.gossipMs, () => sendRound(sender));
  }

  for (const instance of instances) {
    const firstAt = random.nextFloat() * options.gossipMs;
    agenda.runAt(firstAt, () => sendRound(instance));
  }

  return {
    instances,
    engines,
    select: (instance, request, leftMs, excluded) => {
      const {targetMs, pauseMs, priority} = request.kind;
      return instance.selection.select(
        buildRoute(request.kind),
        buildFacts(request),
        excluded,
        {targetMs, pauseMs, leftMs, priority},
        agenda.now,
      );
    },
  };
}
