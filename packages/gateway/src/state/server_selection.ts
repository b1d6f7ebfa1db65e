/** Selects the backend server for the next attempt of a request. */
import {
  chooseShortPool,
  createColdLimit,
  createServerOutcomes,
  listPrefixes,
  placeGeneration,
} from '@buckthornbeam/decisions';
import type {
  ColdTolerance,
  EnginePlacement,
  PrefixLocations,
  PromptPrefix,
  ServerOutcome,
} from '@buckthornbeam/decisions';
import {hashToUint32} from '@buckthornbeam/shared';
import type {
  BackendServer,
  GenerationFacts,
  RequestFacts,
  Route,
  Service,
  ServiceConfiguration,
} from '../model.js';
import {buildEngineRequest, getMissedPart} from './engine_request.js';
import type {PlacementLimits} from './engine_request.js';
import type {KnownServer, Knowledge} from './knowledge.js';
import type {ServerActivity} from './server_activity.js';
import type {ServerLoads, WorkTicket} from './server_loads.js';

/** What a selection asks of the instance's belief. */
export interface SelectionKnowledge
  extends Pick<Knowledge, 'listServers' | 'listServerIds'> {
  getConfiguration(): Pick<ServiceConfiguration, 'services'> | undefined;
}

/** Options of {@link createServerSelection}. */
export interface ServerSelectionOptions {
  selfId: string;
  dataCentre: string;
  /** Regions by data centre. */
  regions: Readonly<Record<string, string>>;
  knowledge: SelectionKnowledge;
  loads: ServerLoads;
  activity: ServerActivity;
  /** Where prompts were read, by this instance and its peers. */
  locations: PrefixLocations;
  /** Prompt tokens that a model server reads in a millisecond. */
  readingTokensPerMs: number;
  /** Part of the model servers that is set apart for short prompts. */
  shortPromptPart: number;
  /** Instances that may send requests, with this one. */
  listInstances: (now: number) => string[];
  /** Factor and slack on a cold server's rate. */
  coldOverage: number;
  coldSlack: number;
  /** A number in [0, 1). */
  random?: () => number;
}

/** The server chosen for an attempt. */
export interface SelectedServer {
  server: BackendServer;
  service: Service;
  /** The attempt counts as work of the server until this ends. */
  ticket: WorkTicket;
  /** The server has read the prompt. */
  markRead: (now: number) => void;
  /** How a generation was placed; absent for plain services. */
  placement?: EnginePlacement;
  /** Server from which the prompt's memory is copied first, `host:port`. */
  copySource?: string;
}

/** Selects servers. */
export interface ServerSelection {
  select(
    route: Route,
    request: RequestFacts,
    excluded: ReadonlySet<string>,
    limits: PlacementLimits,
    now: number,
  ): SelectedServer | undefined;
  recordOutcome(serverId: string, outcome: ServerOutcome, now: number): void;
  /** Forgets servers that are no longer listed. */
  prune(): void;
}

/** Cost of a connection that leaves the data centre, in parts of a server's slots. */
const OTHER_DATA_CENTRE_COST = 0.05;
/** Cost of a plain server that fails every request, in parts of its slots. */
const FAILURE_COST = 3;
/** Spreads equal servers over the instances. */
const TIE_SPREAD = 0.05;
/** Part of the connections of a server that the fleet uses. */
const CONNECTION_PART = 0.8;

/** Names the memory of a server; a server that starts again holds nothing. */
function buildMemoryKey({server}: KnownServer): string {
  return `${server.id}@${server.startedAt ?? 0}`;
}

/** Creates a selection. */
export function createServerSelection(
  options: ServerSelectionOptions,
): ServerSelection {
  const {knowledge, loads, activity, locations} = options;
  const {random = Math.random} = options;
  const tokensPerMs = options.readingTokensPerMs;
  const outcomes = createServerOutcomes();
  const coldLimit = createColdLimit({selfId: options.selfId});
  /** The last pool for short prompts, and the servers it was chosen from. */
  let poolKey = '';
  let pool: ReadonlySet<string> = new Set();

  function isInRegion(route: Route, server: BackendServer): boolean {
    const region = options.regions[server.dataCentre];
    return (
      route.allowedRegions.length === 0 ||
      (region !== undefined && route.allowedRegions.includes(region))
    );
  }

  function isReachable(serverId: string, now: number): boolean {
    return (
      !outcomes.isUnreachable(serverId, now) &&
      !activity.isSilent(serverId, now)
    );
  }

  function hasConnections(
    service: Service,
    serverId: string,
    instances: number,
  ): boolean {
    const share = (service.maximumConnections * CONNECTION_PART) / instances;
    return loads.getOwnInFlight(serverId) < Math.max(1, Math.floor(share));
  }

  function isCold(known: KnownServer, service: Service, now: number): boolean {
    return known.coldUntil > now && service.coldRequestsPerSecond > 0;
  }

  function getTolerance(service: Service): ColdTolerance {
    return {
      requestsPerSecond: service.coldRequestsPerSecond,
      overage: options.coldOverage,
      slack: options.coldSlack,
    };
  }

  /** Servers that can take the request, without those that are cold for others. */
  function listUsable(
    service: Service,
    route: Route,
    excluded: ReadonlySet<string>,
    instances: readonly string[],
    now: number,
  ): KnownServer[] {
    return knowledge.listServers(service.name, now).filter(known => {
      const {server} = known;
      return (
        !excluded.has(server.id) &&
        isInRegion(route, server) &&
        isReachable(server.id, now) &&
        hasConnections(service, server.id, instances.length) &&
        (!isCold(known, service, now) || coldLimit.isUser(server.id, instances))
      );
    });
  }

  /** Takes the chosen server, unless it is cold and its share is used up. */
  function claimServer(
    known: KnownServer,
    service: Service,
    instances: readonly string[],
    now: number,
  ): boolean {
    if (!isCold(known, service, now)) {
      return true;
    }
    return coldLimit.take(
      known.server.id,
      getTolerance(service),
      instances,
      now,
    );
  }

  function choosePlain(
    servers: readonly KnownServer[],
    now: number,
  ): KnownServer | undefined {
    let best: {known: KnownServer; cost: number} | undefined;
    for (const known of servers) {
      const {server} = known;
      const work = loads.getWork(server.id, now);
      const isLocal = server.dataCentre === options.dataCentre;
      const cost =
        work.inFlight / Math.max(1, server.slots) +
        outcomes.computeFailureRate(server.id, now) * FAILURE_COST +
        (isLocal ? 0 : OTHER_DATA_CENTRE_COST) +
        random() * TIE_SPREAD;
      if (!best || cost < best.cost) {
        best = {known, cost};
      }
    }
    return best?.known;
  }

  function selectPlain(
    servers: readonly KnownServer[],
    service: Service,
    instances: readonly string[],
    now: number,
  ): SelectedServer | undefined {
    const rest = [...servers];
    while (rest.length > 0) {
      const known = choosePlain(rest, now)!;
      if (claimServer(known, service, instances, now)) {
        const ticket = loads.add(known.server.id, {}, now);
        return {
          server: known.server,
          service,
          ticket,
          markRead: () => ticket.markRead(),
        };
      }
      rest.splice(rest.indexOf(known), 1);
    }
    return undefined;
  }

  function buildCandidate(
    known: KnownServer,
    service: Service,
    prefixes: readonly PromptPrefix[],
    now: number,
  ) {
    const {server} = known;
    const memoryKey = buildMemoryKey(known);
    return {
      serverId: server.id,
      slots: server.slots,
      memoryTokens: service.engine?.memoryTokens ?? Infinity,
      ...loads.getWork(server.id, now),
      ownInFlight: loads.getOwnInFlight(server.id),
      heldTokens: locations.countExpectedTokens(memoryKey, prefixes, now),
      readTokens: locations.countReadTokens(memoryKey, prefixes, now),
      failureRate: outcomes.computeFailureRate(server.id, now),
    };
  }

  /** Chooses the servers of a service that are set apart for short prompts. */
  function choosePool(service: Service, now: number): ReadonlySet<string> {
    // Servers that cannot be used would leave the pool smaller than it seems.
    const serverIds = knowledge
      .listServers(service.name, now)
      .map(known => known.server.id)
      .filter(id => isReachable(id, now));
    const key = serverIds.join('\n');
    if (key !== poolKey) {
      poolKey = key;
      pool = chooseShortPool({serverIds, part: options.shortPromptPart});
    }
    return pool;
  }

  function selectEngine(
    servers: readonly KnownServer[],
    service: Service,
    facts: GenerationFacts,
    limits: PlacementLimits,
    instances: readonly string[],
    now: number,
  ): SelectedServer | undefined {
    const request = buildEngineRequest(facts, limits);
    const prefixes = listPrefixes(facts.parts.slice(0, -1), facts.model);
    const shortPool = choosePool(service, now);
    let rest = [...servers];
    while (rest.length > 0) {
      const candidates = rest.map(known =>
        buildCandidate(known, service, prefixes, now),
      );
      const placement = placeGeneration(candidates, request, {
        tokensPerMs,
        copiedTokensPerMs: service.engine?.copiedTokensPerMs ?? 0,
        tokensPerEvent: service.engine?.tokensPerEvent ?? 0,
        shortPool,
        instances: instances.length,
      })!;
      const {serverId, unreadTokens, expectedEndMs} = placement;
      if (expectedEndMs > limits.leftMs * getMissedPart(limits.priority)) {
        return undefined;
      }
      const known = rest.find(item => item.server.id === serverId)!;
      if (claimServer(known, service, instances, now)) {
        const memoryKey = buildMemoryKey(known);
        locations.recordSent(memoryKey, prefixes, now);
        const work = {
          unreadTokens,
          // Shared parts are in memory once, however many requests use them.
          totalTokens: unreadTokens + request.outputTokens,
        };
        const ticket = loads.add(serverId, work, now);
        const {server} = known;
        const source = servers.find(
          item => item.server.id === placement.copySourceId,
        );
        return {
          server,
          service,
          ticket,
          placement,
          markRead: at => {
            ticket.markRead();
            locations.recordRead(memoryKey, prefixes, at);
          },
          ...(source ? {copySource: source.server.address} : {}),
        };
      }
      rest = rest.filter(item => item !== known);
    }
    return undefined;
  }

  /** Lists the services of a route, first the one that the request falls to. */
  function listServices(route: Route, requestId: string): Service[] {
    const {targets} = route;
    const total = targets.reduce((sum, target) => sum + target.weight, 0);
    let position = ((hashToUint32(requestId) % 10_000) / 10_000) * total;
    let first = 0;
    for (const [index, target] of targets.entries()) {
      if (position < target.weight) {
        first = index;
        break;
      }
      position -= target.weight;
    }
    const services = knowledge.getConfiguration()?.services;
    return [...targets.slice(first), ...targets.slice(0, first)]
      .filter(target => target.weight > 0)
      .flatMap(target => services?.get(target.serviceName) ?? []);
  }

  return {
    select: (route, request, excluded, limits, now) => {
      const instances = options.listInstances(now);
      for (const service of listServices(route, request.id)) {
        const servers = listUsable(service, route, excluded, instances, now);
        const selected =
          service.engine && request.generation
            ? selectEngine(
                servers,
                service,
                request.generation,
                limits,
                instances,
                now,
              )
            : selectPlain(servers, service, instances, now);
        if (selected) {
          return selected;
        }
      }
      return undefined;
    },
    recordOutcome: (serverId, outcome, now) =>
      outcomes.record(serverId, outcome, now),
    prune: () => {
      const listed = knowledge.listServerIds();
      outcomes.retain(listed);
      coldLimit.retain(listed);
      activity.retain(listed);
    },
  };
}
