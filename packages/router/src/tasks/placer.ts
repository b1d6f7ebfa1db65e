/** Placement: which backend server a request should go to. */
import {ServiceState} from '@buckthornbeam/config';
import type {BackendServer, FileSet} from '@buckthornbeam/config';
import {
  createPrefixTable,
  createSlowServerDetector,
  placeRequest,
} from '@buckthornbeam/decisions';
import type {PlacementCandidate, Prompt} from '@buckthornbeam/decisions';
import {RouterError, SECOND_MS} from '@buckthornbeam/shared';
import type {Clock, RandomSource} from '@buckthornbeam/shared';
import type {AdmittedRequest} from './admission.js';
import type {KnownLoad} from './known_loads.js';

/** Options of {@link createPlacer}. */
export interface PlacerOptions {
  random: RandomSource;
  clock: Clock;
  getFileSet: () => FileSet;
  /** Loads of all servers as far as known, the most trusted last. */
  listLoads: () => KnownLoad[];
}

/** Chooses backend servers. */
export interface Placer {
  /**
   * Returns a server's id, none of `excluded`; throws `no_server` when no
   * server is left.
   */
  place(admitted: AdmittedRequest, excluded?: ReadonlySet<string>): string;
}

/** Whether operators have the server and its data centre in service. */
export function isInService(set: FileSet, server: BackendServer): boolean {
  const dataCentre = set.dataCentres.get(server.dataCentre);
  return (
    server.state === ServiceState.IN && dataCentre?.state === ServiceState.IN
  );
}

/** Time between two looks for stragglers, in milliseconds. */
const STRAGGLER_PERIOD_MS = SECOND_MS;

function indexServers(set: FileSet): Map<string, BackendServer[]> {
  const byModel = new Map<string, BackendServer[]>();
  for (const server of set.servers.values()) {
    if (!isInService(set, server)) {
      continue;
    }
    for (const model of server.models) {
      const servers = byModel.get(model) ?? [];
      servers.push(server);
      byModel.set(model, servers);
    }
  }
  return byModel;
}

function toPrompt({request}: AdmittedRequest): Prompt {
  const messages = request.body['messages'] as Array<{content?: unknown}>;
  const content = messages[0]?.content;
  const text = typeof content === 'string' ? content : '';
  return {model: request.model, text};
}

/** Creates the placer of one instance. */
export function createPlacer(options: PlacerOptions): Placer {
  const {random, clock, getFileSet, listLoads} = options;
  const stragglers = createSlowServerDetector();
  const prefixes = createPrefixTable();
  /** Times at which requests were sent, by server, oldest first. */
  const sentTimes = new Map<string, number[]>();
  let stragglersAt = -Infinity;
  let indexedSet: FileSet | undefined;
  let serversByModel: ReadonlyMap<string, BackendServer[]> = new Map();

  function countSentSince(serverId: string, reportedAt: number): number {
    const times = sentTimes.get(serverId);
    if (!times) {
      return 0;
    }
    while (times.length > 0 && times[0]! < reportedAt) {
      times.shift();
    }
    // Without a report only the last second counts.
    const since = Math.max(reportedAt, clock.now() - SECOND_MS);
    return times.filter(time => time >= since).length;
  }

  function observeSpeeds(loads: ReadonlyMap<string, KnownLoad>): void {
    if (clock.now() - stragglersAt < STRAGGLER_PERIOD_MS) {
      return;
    }
    stragglersAt = clock.now();
    const rates = new Map<string, number>();
    for (const [serverId, {load}] of loads) {
      if (load.msPerToken > 0) {
        rates.set(serverId, SECOND_MS / load.msPerToken);
      }
    }
    stragglers.observe(rates);
  }

  function makeCandidate(
    server: BackendServer,
    known: KnownLoad | undefined,
  ): PlacementCandidate {
    const reportedAt = known?.reportedAt ?? -Infinity;
    return {
      serverId: server.id,
      limit: known?.load.limit ?? server.capacity.startingRequests,
      inFlight: known?.load.inFlight ?? 0,
      queued: known?.load.queued ?? 0,
      sentSince: countSentSince(server.id, reportedAt),
      expectedWaitMs: known?.load.expectedWaitMs ?? 0,
      msPerToken: known?.load.msPerToken ?? 0,
      isSlowServer: stragglers.isSlow(server.id),
      lowestTier: known?.load.lowestTier ?? 0,
      ageMs: clock.now() - reportedAt,
    };
  }

  /** Servers in service that hold the model, indexed once for a file set. */
  function listServers(set: FileSet, model: string): BackendServer[] {
    if (set !== indexedSet) {
      indexedSet = set;
      serversByModel = indexServers(set);
    }
    return serversByModel.get(model) ?? [];
  }

  function listCandidates(
    model: string,
    excluded: ReadonlySet<string>,
  ): PlacementCandidate[] {
    const set = getFileSet();
    const loads = new Map(
      listLoads().map(known => [known.load.serverId, known]),
    );
    observeSpeeds(loads);
    const candidates: PlacementCandidate[] = [];
    for (const server of listServers(set, model)) {
      if (!excluded.has(server.id)) {
        candidates.push(makeCandidate(server, loads.get(server.id)));
      }
    }
    return candidates;
  }

  function recordSent(serverId: string): void {
    const times = sentTimes.get(serverId) ?? [];
    sentTimes.set(serverId, times);
    times.push(clock.now());
  }

  return {
    place: (admitted, excluded = new Set()) => {
      const {request, requestClass} = admitted;
      const prompt = toPrompt(admitted);
      const placed = placeRequest(
        listCandidates(request.model, excluded),
        {
          tier: requestClass.tier,
          betweenTokensMs: requestClass.targets.betweenTokensMs,
          prefixServerId: prefixes.find(prompt),
        },
        random,
      );
      if (!placed) {
        throw new RouterError('no_server', `no server holds ${request.model}`);
      }
      recordSent(placed.serverId);
      prefixes.record(prompt, placed.serverId);
      return placed.serverId;
    },
  };
}
