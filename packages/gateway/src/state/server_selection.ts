/** Selects the backend server for the next attempt of a request. */
import {
  estimateTokenMs,
  listPrefixes,
  selectSoundServers,
} from '@buckthornbeam/decisions';
import type {
  EnginePlacement,
  PrefixLocations,
  ServerOutcome,
} from '@buckthornbeam/decisions';
import {hashToUint32} from '@buckthornbeam/shared';
import type {
  BackendServer,
  GenerationMetadata,
  RequestMetadata,
  Route,
  Service,
  ServiceConfiguration,
} from '../model.js';
import {
  buildEngineRequest,
  computeMaximumDurationRatio,
} from './engine_request.js';
import type {PlacementLimits} from './engine_request.js';
import {isRepeatable} from '../relay/repeatable.js';
import type {ClusterState} from './cluster_state.js';
import type {FaultTracker} from './fault_tracker.js';
import type {ServerActivity} from './server_activity.js';
import type {Spreading} from './load_spreading.js';
import {findCapacityLack} from './capacity_lack.js';
import type {CapacityLack} from './capacity_lack.js';
import {createServerAvailability} from './server_availability.js';
import {buildCacheKey, createServerChoice} from './server_choice.js';
import type {TrackedServer} from './server_entries.js';
import type {ServerLoads, RequestHandle} from './server_loads.js';
import type {AnswerProgress, SpeedTracker} from './speed_tracker.js';
import {createStatementTracker} from './statement_tracker.js';
import type {StatementTracker} from './statement_tracker.js';
import {createWaitingRequests} from './waiting_requests.js';
import type {WaitingPlace} from './waiting_requests.js';

/** Cluster state that the selection reads. */
export interface SelectionClusterState
  extends Pick<ClusterState, 'listServers' | 'listServerIds' | 'findServer'> {
  getConfiguration(): Pick<ServiceConfiguration, 'services'> | undefined;
}

/** Options of {@link createServerSelection}. */
export interface ServerSelectionOptions {
  selfId: string;
  dataCentre: string;
  /** Regions by data centre. */
  regions: Readonly<Record<string, string>>;
  clusterState: SelectionClusterState;
  loads: ServerLoads;
  activity: ServerActivity;
  /** Cache locations of prompt prefixes, from this instance and its peers. */
  locations: PrefixLocations;
  /** Prompt tokens that a model server prefills in a millisecond. */
  prefillTokensPerMs: number;
  /** Fraction of the model servers reserved for short prompts, from 0 to 1. */
  shortPromptRatio: number;
  /** Lists the instances that may send requests, including this one. */
  listInstances: (now: number) => readonly string[];
  /** Multiplies the request rate that a service allows to a cold server. */
  coldOverage: number;
  /** Requests a second that a cold server accepts beyond that rate. */
  coldSlack: number;
  /** What servers state in their answers. */
  statements?: StatementTracker;
  /** Faults seen by all instances; only the own ones count if absent. */
  faults?: FaultTracker | undefined;
  /** How servers are chosen by load reports; the lowest cost by default. */
  spreading?: Spreading;
  /** Speeds of model servers, learned from answers; all are equal if absent. */
  speeds?: SpeedTracker | undefined;
  /** Returns a number in [0, 1). */
  random?: () => number;
}

/** The server chosen for an attempt. */
export interface SelectedServer {
  server: BackendServer;
  service: Service;
  /** Counts the attempt in the load of the server until it is ended. */
  requestHandle: RequestHandle;
  /** Records that the server has finished the prefill. */
  markPrefilled: (now: number) => void;
  /** Placement of a generation; absent for services without an engine. */
  placement?: EnginePlacement;
  /** Server to copy cached prefix blocks from before the prefill, `host:port`. */
  copySource?: string;
  /** Whether servers were left out for a limit or a pause that they stated. */
  isDiverted: boolean;
  /** Follows the events of the answer; absent if speeds are not learned. */
  progress?: AnswerProgress;
  /** Age of the load reports of others; absent without any. */
  loadAgeMs?: number | undefined;
}

/** Time limits of a request, and its place if it waits already. */
export interface SelectionLimits extends PlacementLimits {
  place?: WaitingPlace;
  /** Whether the request must not take capacity of the service. */
  isHeldBack?: (serviceName: string) => boolean;
  /** Fraction of the usual backlog of a server that the request may meet; 1 if absent. */
  backlogFactor?: number;
}

export interface ServerSelection {
  /**
   * Chooses a server of the route and counts the request in its load; undefined
   * if no server can accept it now.
   * @param excluded Ids of servers that must not be chosen again.
   */
  select(
    route: Route,
    request: RequestMetadata,
    excluded: ReadonlySet<string>,
    limits: SelectionLimits,
    now: number,
  ): SelectedServer | undefined;
  /** Gives a request its place among those that wait for a server of its route. */
  addWaiting(route: Route, urgencyPosition: number): WaitingPlace;
  /**
   * Computes the time until the request may be sent after those ahead of it, in
   * milliseconds; undefined unless only limits and pauses of servers keep it back.
   */
  computeLimitWait(
    route: Route,
    request: RequestMetadata,
    excluded: ReadonlySet<string>,
    limits: SelectionLimits,
    now: number,
  ): number | undefined;
  /** Describes what a request lacks that got no server. */
  findLack(
    route: Route,
    request: RequestMetadata,
    excluded: ReadonlySet<string>,
    now: number,
  ): CapacityLack;
  recordOutcome(serverId: string, outcome: ServerOutcome, now: number): void;
  /** Applies what an answer of the server states. */
  recordStatement(...answer: Parameters<StatementTracker['record']>): void;
  /** Computes the shares of limited rates again, after news of other instances. */
  updateShares(now: number): void;
  /** Removes the statistics of servers that are no longer listed. */
  prune(now: number): void;
}

type PlacedServer = Omit<SelectedServer, 'isDiverted' | 'loadAgeMs'>;

export function createServerSelection(
  options: ServerSelectionOptions,
): ServerSelection {
  const {clusterState, loads, locations} = options;
  const {statements = createStatementTracker()} = options;
  const availability = createServerAvailability({...options, statements});
  const choice = createServerChoice({
    ...options,
    availability,
    getServerSpeed: serverId => options.speeds?.getSpeed(serverId) ?? 1,
  });
  const waiting = createWaitingRequests();

  function isInRegion(route: Route, server: BackendServer): boolean {
    const region = options.regions[server.dataCentre];
    return (
      route.allowedRegions.length === 0 ||
      (region !== undefined && route.allowedRegions.includes(region))
    );
  }

  /** Lists the servers that can accept the request, apart from limits of rates. */
  function listAcceptable(
    service: Service,
    route: Route,
    excluded: ReadonlySet<string>,
    instances: readonly string[],
    now: number,
  ): readonly TrackedServer[] {
    const acceptable = clusterState
      .listServers(service.name)
      .filter(
        tracked =>
          !excluded.has(tracked.server.id) &&
          isInRegion(route, tracked.server) &&
          availability.canAccept(tracked, service, instances, now),
      );
    const {faults} = options;
    return faults
      ? selectSoundServers(
          acceptable,
          ({server}) => faults.isFaulty(server.id, now),
          isRepeatable(route),
        )
      : acceptable;
  }

  function selectPlain(
    servers: readonly TrackedServer[],
    service: Service,
    instances: readonly string[],
    now: number,
  ): PlacedServer | undefined {
    const remaining = [...servers];
    while (remaining.length > 0) {
      const tracked = choice.choosePlain(remaining, service, instances, now)!;
      if (availability.claim(tracked, service, instances, now)) {
        choice.recordSent(service, 0, now);
        const requestHandle = loads.add(tracked.server.id, {}, now);
        return {
          server: tracked.server,
          service,
          requestHandle,
          markPrefilled: () => requestHandle.markPrefilled(),
        };
      }
      remaining.splice(remaining.indexOf(tracked), 1);
    }
    return undefined;
  }

  function openProgress(
    service: Service,
    serverId: string,
    now: number,
  ): AnswerProgress | undefined {
    const load = loads.getLoad(serverId, now);
    const tokenMs = estimateTokenMs(load, options.prefillTokensPerMs);
    const eventMs = tokenMs * (service.engine?.tokensPerEvent ?? 0);
    return options.speeds?.beginAnswer(serverId, eventMs);
  }

  function selectEngine(
    servers: readonly TrackedServer[],
    service: Service,
    metadata: GenerationMetadata,
    limits: SelectionLimits,
    instances: readonly string[],
    now: number,
  ): PlacedServer | undefined {
    const request = buildEngineRequest(metadata, limits);
    const prefixes = listPrefixes(metadata.blocks.slice(0, -1), metadata.model);
    let remaining = [...servers];
    while (remaining.length > 0) {
      const placement = choice.placeEngine(
        remaining,
        service,
        {request, prefixes},
        instances,
        now,
      )!;
      const {serverId, prefillTokens, expectedEndMs} = placement;
      if (
        expectedEndMs >
        limits.remainingMs *
          computeMaximumDurationRatio(limits.urgencyPosition) *
          (limits.backlogFactor ?? 1)
      ) {
        return undefined;
      }
      const tracked = remaining.find(item => item.server.id === serverId)!;
      if (availability.claim(tracked, service, instances, now)) {
        const cacheKey = buildCacheKey(tracked);
        locations.recordSent(cacheKey, prefixes, now);
        choice.recordSent(service, request.promptTokens, now);
        const load = {
          pendingPrefillTokens: prefillTokens,
          // Cached prefix blocks are stored once, however many requests share them.
          totalTokens: prefillTokens + request.outputTokens,
        };
        const progress = openProgress(service, serverId, now);
        const requestHandle = loads.add(serverId, load, now);
        const {server} = tracked;
        const source = servers.find(
          item => item.server.id === placement.copySourceId,
        );
        return {
          server,
          service,
          requestHandle,
          placement,
          markPrefilled: at => {
            requestHandle.markPrefilled();
            locations.recordPrefilled(cacheKey, prefixes, at);
          },
          ...(source ? {copySource: source.server.address} : {}),
          ...(progress ? {progress} : {}),
        };
      }
      remaining = remaining.filter(item => item !== tracked);
    }
    return undefined;
  }

  /**
   * Lists the services of a route. The first is chosen by weight from a hash of
   * the request id; the others follow as fallbacks.
   */
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
    const services = clusterState.getConfiguration()?.services;
    return [...targets.slice(first), ...targets.slice(0, first)]
      .filter(target => target.weight > 0)
      .flatMap(target => services?.get(target.serviceName) ?? []);
  }

  function updateShares(now: number): void {
    const instances = options.listInstances(now);
    statements.advance({selfId: options.selfId, instances}, now);
  }

  /** Counts the waiting requests that go first where the rate is limited. */
  function countAhead({name}: Service, limits: SelectionLimits): number {
    return limits.place
      ? limits.place.countAhead(name)
      : waiting.countAhead(name, limits.urgencyPosition);
  }

  return {
    select: (route, request, excluded, limits, now) => {
      options.speeds?.update(now);
      const instances = options.listInstances(now);
      for (const service of listServices(route, request.id)) {
        if (limits.isHeldBack?.(service.name)) {
          continue;
        }
        const acceptable = listAcceptable(
          service,
          route,
          excluded,
          instances,
          now,
        );
        const ahead = countAhead(service, limits);
        const servers = acceptable.filter(
          tracked =>
            availability.computeWait(tracked, instances, now) === 0 &&
            (ahead === 0 || !statements.isLimited(tracked.server)),
        );
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
          return {
            ...selected,
            isDiverted: servers.length < acceptable.length,
            loadAgeMs: loads.findReportAge(now)?.ageMs,
          };
        }
      }
      return undefined;
    },
    addWaiting: ({targets}, urgencyPosition) =>
      waiting.add(
        targets.map(target => target.serviceName),
        urgencyPosition,
      ),
    computeLimitWait: (route, request, excluded, limits, now) => {
      if (!statements.hasLimited()) {
        return undefined;
      }
      const instances = options.listInstances(now);
      const waits = listServices(route, request.id).flatMap(service =>
        listAcceptable(service, route, excluded, instances, now).map(tracked =>
          statements.isLimited(tracked.server)
            ? availability.computeWait(
                tracked,
                instances,
                now,
                countAhead(service, limits),
              )
            : undefined,
        ),
      );
      // A request that may be sent already is kept back by something else.
      return waits.length === 0 || waits.some(wait => !wait)
        ? undefined
        : Math.min(...waits.map(wait => wait!));
    },
    findLack: (route, request, excluded, now) => {
      const instances = options.listInstances(now);
      return findCapacityLack(
        listServices(route, request.id).flatMap(service => ({
          service,
          listed: clusterState
            .listServers(service.name)
            .filter(({server}) => !excluded.has(server.id)),
          acceptable: listAcceptable(service, route, excluded, instances, now),
        })),
        {availability, instances, now},
      );
    },
    recordOutcome: (serverId, outcome, now) =>
      availability.recordOutcome(serverId, outcome, now),
    recordStatement: (server, statement, answer) => {
      if (statements.record(server, statement, answer)) {
        updateShares(answer.headAt);
      }
    },
    updateShares,
    prune: now => {
      const listed = clusterState.listServerIds();
      availability.retain(listed);
      options.speeds?.retain(listed);
      choice.retain(clusterState.getConfiguration()?.services);
      statements.retain(
        [...listed].map(id => clusterState.findServer(id)!.server),
        now,
      );
      updateShares(now);
    },
  };
}
