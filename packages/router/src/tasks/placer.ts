/** Placement: chooses the backend server for a request. */
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
import type {TimedServerLoad} from './server_loads.js';

/** Options of {@link createPlacer}. */
export interface PlacerOptions {
  random: RandomSource;
  clock: Clock;
  getFileSet: () => FileSet;
  /** Lists server loads; of two for one server, the later one is used. */
  listLoads: () => TimedServerLoad[];
}

export interface Placer {
  /**
   * Returns the id of a server outside `excluded` and records the request as
   * sent there. Throws `no_server` if there is none.
   */
  place(admitted: AdmittedRequest, excluded?: ReadonlySet<string>): string;
}

/** Whether the file set has both the server and its data centre in service. */
export function isInService(set: FileSet, server: BackendServer): boolean {
  const dataCentre = set.dataCentres.get(server.dataCentre);
  return (
    server.state === ServiceState.IN && dataCentre?.state === ServiceState.IN
  );
}

const SLOW_SERVER_CHECK_INTERVAL_MS = SECOND_MS;

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

export function createPlacer(options: PlacerOptions): Placer {
  const {random, clock, getFileSet, listLoads} = options;
  const slowServers = createSlowServerDetector();
  const prefixTable = createPrefixTable();
  /** Monotonic send sentTimes of requests by server id, oldest first. */
  const sentTimesByServer = new Map<string, number[]>();
  let slowServersCheckedAt = -Infinity;
  let indexedSet: FileSet | undefined;
  let serversByModel: ReadonlyMap<string, BackendServer[]> = new Map();

  function countSentSince(serverId: string, reportedAt: number): number {
    const sentTimes = sentTimesByServer.get(serverId);
    if (!sentTimes) {
      return 0;
    }
    while (sentTimes.length > 0 && sentTimes[0]! < reportedAt) {
      sentTimes.shift();
    }
    // Without a report, or with an old one, only the last second counts.
    const countedSince = Math.max(reportedAt, clock.now() - SECOND_MS);
    return sentTimes.filter(time => time >= countedSince).length;
  }

  function observeSpeeds(loads: ReadonlyMap<string, TimedServerLoad>): void {
    if (clock.now() - slowServersCheckedAt < SLOW_SERVER_CHECK_INTERVAL_MS) {
      return;
    }
    slowServersCheckedAt = clock.now();
    const rates = new Map<string, number>();
    for (const [serverId, {load}] of loads) {
      if (load.msPerToken > 0) {
        rates.set(serverId, SECOND_MS / load.msPerToken);
      }
    }
    slowServers.observe(rates);
  }

  function makeCandidate(
    server: BackendServer,
    timedLoad: TimedServerLoad | undefined,
  ): PlacementCandidate {
    const reportedAt = timedLoad?.reportedAt ?? -Infinity;
    return {
      serverId: server.id,
      limit: timedLoad?.load.limit ?? server.capacity.startingRequests,
      inFlight: timedLoad?.load.inFlight ?? 0,
      queued: timedLoad?.load.queued ?? 0,
      sentSince: countSentSince(server.id, reportedAt),
      expectedWaitMs: timedLoad?.load.expectedWaitMs ?? 0,
      msPerToken: timedLoad?.load.msPerToken ?? 0,
      isSlowServer: slowServers.isSlow(server.id),
      lowestTier: timedLoad?.load.lowestTier ?? 0,
      ageMs: clock.now() - reportedAt,
    };
  }

  /** Lists servers in service with the model; indexed once per file set. */
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
      listLoads().map(timedLoad => [timedLoad.load.serverId, timedLoad]),
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
    const sentTimes = sentTimesByServer.get(serverId) ?? [];
    sentTimesByServer.set(serverId, sentTimes);
    sentTimes.push(clock.now());
  }

  return {
    place: (admitted, excluded = new Set()) => {
      const {request, requestClass} = admitted;
      const prompt = toPrompt(admitted);
      const placement = placeRequest(
        listCandidates(request.model, excluded),
        {
          tier: requestClass.tier,
          betweenTokensMs: requestClass.targets.betweenTokensMs,
          prefixServerId: prefixTable.find(prompt),
        },
        random,
      );
      if (!placement) {
        throw new RouterError(
          'no_server',
          `no available server serves ${request.model}`,
        );
      }
      recordSent(placement.serverId);
      prefixTable.record(prompt, placement.serverId);
      return placement.serverId;
    },
  };
}
