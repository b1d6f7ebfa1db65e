/** Chooses one of several backend servers that may be sent a request. */
import {
  chooseByShare,
  chooseShortPool,
  computeFill,
  estimateUnseenTokens,
  isShortPrompt,
  placeGeneration,
} from '@buckthornbeam/decisions';
import type {
  EngineCandidate,
  EnginePlacement,
  EngineRequest,
  PrefixLocations,
  PromptPrefix,
} from '@buckthornbeam/decisions';
import {countLoadSharers} from '@buckthornbeam/membership';
import type {BackendServer, Service} from '../model.js';
import type {ClusterState} from './cluster_state.js';
import {Spreading, createLoadSpreading} from './load_spreading.js';
import type {SpreadPlan} from './load_spreading.js';
import type {ServerAvailability} from './server_availability.js';
import type {TrackedServer} from './server_entries.js';
import type {ServerLoad, ServerLoads} from './server_loads.js';

/** Options of {@link createServerChoice}. */
export interface ServerChoiceOptions {
  selfId: string;
  dataCentre: string;
  clusterState: Pick<ClusterState, 'listServers'>;
  loads: ServerLoads;
  locations: PrefixLocations;
  availability: Pick<ServerAvailability, 'isUsable' | 'computeFailureRate'>;
  prefillTokensPerMs: number;
  shortPromptRatio: number;
  spreading?: Spreading;
  getServerSpeed?: (serverId: string) => number;
  random?: () => number;
}

/** A generation, and the prefixes of its prompt. */
export interface PrefixedRequest {
  request: EngineRequest;
  prefixes: readonly PromptPrefix[];
}

export interface ServerChoice {
  /** Chooses a server of a plain service; undefined if there is none. */
  choosePlain(
    servers: readonly TrackedServer[],
    service: Service,
    instances: readonly string[],
    now: number,
  ): TrackedServer | undefined;
  /** Places a generation on a model server; undefined if there is none. */
  placeEngine(
    servers: readonly TrackedServer[],
    service: Service,
    request: PrefixedRequest,
    instances: readonly string[],
    now: number,
  ): EnginePlacement | undefined;
  /** Records a request that is sent; `promptTokens` is 0 in plain services. */
  recordSent(service: Service, promptTokens: number, now: number): void;
  /** Removes the state of services that are not configured. */
  retain(services: ReadonlyMap<string, Service> | undefined): void;
}

/** Cost of a server in another data centre, as a fraction of its slots. */
const OTHER_DATA_CENTRE_COST = 0.05;
/** Cost of a server that fails every request, as a multiple of its slots. */
const FAILURE_RATE_COST = 3;
/** Keeps instances from choosing the same one of several equal servers. */
const MAXIMUM_RANDOM_COST = 0.05;

/** Identifies the KV cache of a server, which is empty again after a restart. */
export function buildCacheKey({server}: TrackedServer): string {
  return `${server.id}@${server.startedAt ?? 0}`;
}

export function createServerChoice(options: ServerChoiceOptions): ServerChoice {
  const {clusterState, loads, locations, availability} = options;
  const {random = Math.random, prefillTokensPerMs} = options;
  const isEven = options.spreading === Spreading.EVEN;
  const spreading = createLoadSpreading(options);
  /** Last pool for short prompts, and the server ids that it was chosen from. */
  let shortPoolKey = '';
  let currentShortPool: ReadonlySet<string> = new Set();

  function planSpread(
    servers: readonly TrackedServer[],
    service: Service,
    instances: readonly string[],
    now: number,
  ): SpreadPlan {
    return spreading.plan(
      service.name,
      servers.map(({server}) => server),
      instances,
      now,
    );
  }

  function computePlainCost(
    server: BackendServer,
    {inFlight}: ServerLoad,
    now: number,
    speed = 1,
  ): number {
    const isLocal = server.dataCentre === options.dataCentre;
    return (
      inFlight / Math.max(1, server.slots * speed) +
      availability.computeFailureRate(server.id, now) * FAILURE_RATE_COST +
      (isLocal ? 0 : OTHER_DATA_CENTRE_COST)
    );
  }

  function chooseCheapest(
    servers: readonly TrackedServer[],
    now: number,
  ): TrackedServer | undefined {
    let best: {tracked: TrackedServer; cost: number} | undefined;
    for (const tracked of servers) {
      const load = loads.getLoad(tracked.server.id, now);
      const cost =
        computePlainCost(tracked.server, load, now) +
        random() * MAXIMUM_RANDOM_COST;
      if (!best || cost < best.cost) {
        best = {tracked, cost};
      }
    }
    return best?.tracked;
  }

  function chooseEvenly(
    servers: readonly TrackedServer[],
    plan: SpreadPlan,
    now: number,
  ): TrackedServer | undefined {
    const targets = servers.map(({server}) => {
      const speed = spreading.getSpeed(server.id);
      return {
        cost: computePlainCost(server, plan.estimateLoad(server), now, speed),
        capacity:
          Math.max(1, server.slots * speed) * plan.estimateSentRatio(server),
      };
    });
    const shares = computeFill(targets, plan.unseenRequests);
    return servers[chooseByShare(shares, plan.position)];
  }

  function buildCandidate(
    tracked: TrackedServer,
    service: Service,
    prefixes: readonly PromptPrefix[],
    now: number,
  ): EngineCandidate {
    const {server} = tracked;
    const cacheKey = buildCacheKey(tracked);
    return {
      serverId: server.id,
      slots: server.slots,
      kvCacheTokens: service.engine?.kvCacheTokens ?? Infinity,
      ...loads.getLoad(server.id, now),
      ownInFlight: loads.getOwnInFlight(server.id),
      cachedTokens: locations.countExpectedTokens(cacheKey, prefixes, now),
      prefilledTokens: locations.countPrefilledTokens(cacheKey, prefixes, now),
      failureRate: availability.computeFailureRate(server.id, now),
      ...(isEven ? {speed: spreading.getSpeed(server.id)} : {}),
    };
  }

  /** Adds a random part of what others may have sent since their reports. */
  function addUnseen(
    candidate: EngineCandidate,
    instances: number,
  ): EngineCandidate {
    const unseenTokens = estimateUnseenTokens({
      prefillTokensPerMs: candidate.prefillTokensPerMs,
      sharers: countLoadSharers(instances),
      random,
    });
    return {
      ...candidate,
      pendingPrefillTokens: candidate.pendingPrefillTokens + unseenTokens,
    };
  }

  /** Returns the servers of a service that are reserved for short prompts. */
  function getShortPool(service: Service, now: number): ReadonlySet<string> {
    // Unusable servers in the pool would reduce its size.
    const serverIds = clusterState
      .listServers(service.name)
      .filter(({server}) => availability.isUsable(server, now))
      .map(({server}) => server.id);
    const key = serverIds.join('\n');
    if (key !== shortPoolKey) {
      shortPoolKey = key;
      currentShortPool = chooseShortPool({
        serverIds,
        ratio: options.shortPromptRatio,
      });
    }
    return currentShortPool;
  }

  return {
    choosePlain: (servers, service, instances, now) =>
      isEven
        ? chooseEvenly(
            servers,
            planSpread(servers, service, instances, now),
            now,
          )
        : chooseCheapest(servers, now),
    placeEngine: (servers, service, {request, prefixes}, instances, now) => {
      const candidates = servers.map(tracked =>
        buildCandidate(tracked, service, prefixes, now),
      );
      const placementOptions = {
        tokensPerMs: prefillTokensPerMs,
        copiedTokensPerMs: service.engine?.copiedTokensPerMs ?? 0,
        tokensPerEvent: service.engine?.tokensPerEvent ?? 0,
        shortPool: getShortPool(service, now),
      };
      // Long prompts share a server on purpose, for their cached prefix.
      if (!isEven || !isShortPrompt(request.promptTokens)) {
        return placeGeneration(
          candidates.map(item => addUnseen(item, instances.length)),
          request,
          {...placementOptions, instances: instances.length},
        );
      }
      const plan = planSpread(servers, service, instances, now);
      const {unseenTokens, position} = plan;
      return placeGeneration(
        candidates.map((item, index) => ({
          ...item,
          ...plan.estimateLoad(servers[index]!.server),
        })),
        request,
        {
          ...placementOptions,
          // The unseen load stands for the requests of the other instances.
          instances: 1,
          evenLoad: {unseenTokens, position},
        },
      );
    },
    recordSent: (service, promptTokens, now) => {
      if (isEven) {
        const isShort = isShortPrompt(promptTokens);
        spreading.record(service.name, isShort ? promptTokens : 0, now);
      }
    },
    retain: services => {
      if (services) {
        spreading.retain(new Set(services.keys()));
      }
    },
  };
}
