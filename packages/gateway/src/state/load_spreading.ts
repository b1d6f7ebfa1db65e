/**
 * Spreads requests over servers by stale load reports: what this instance expects
 * the others to have sent and ended since the reports.
 */
import {
  createLoadSpread,
  estimateEndedRatio,
  estimateSentRatio,
} from '@buckthornbeam/decisions';
import type {LoadSpread, SpreadPlace} from '@buckthornbeam/decisions';
import type {BackendServer} from '../model.js';
import type {ServerLoad, ServerLoads} from './server_loads.js';

/** How servers are chosen by load reports. */
export const Spreading = {
  /** The server of the lowest cost. */
  OFF: 'off',
  /** In proportion to what the load since the report fills the servers with. */
  EVEN: 'even',
} as const;
export type Spreading = (typeof Spreading)[keyof typeof Spreading];

/** Options of {@link createLoadSpreading}. */
export interface LoadSpreadingOptions {
  selfId: string;
  loads: Pick<ServerLoads, 'getLoad' | 'getPeerLoad' | 'findReportAge'>;
  /** Prompt tokens that a model server of speed 1 prefills in a millisecond. */
  prefillTokensPerMs: number;
  /** Speed of a server relative to the usual; 1 for all by default. */
  getServerSpeed?: (serverId: string) => number;
}

/** The choice for one request among the servers of a service. */
export interface SpreadPlan {
  /** Requests that the others have sent since the reports. */
  unseenRequests: number;
  /** Prompt tokens of short prompts that the others have sent since. */
  unseenTokens: number;
  /** Number in [0, 1), evenly distributed over the requests of all instances. */
  position: number;
  /** Estimates the load of a server now, without what has ended or was prefilled. */
  estimateLoad(server: BackendServer): ServerLoad;
  /** Estimates the requests sent since the reports for each that is left. */
  estimateSentRatio(server: BackendServer): number;
}

export interface LoadSpreading {
  /** Plans the choice among all servers of a service that may be chosen. */
  plan(
    serviceName: string,
    servers: readonly BackendServer[],
    instances: readonly string[],
    now: number,
  ): SpreadPlan;
  /** Records a request that this instance sends, and its prompt. */
  record(serviceName: string, promptTokens: number, now: number): void;
  getSpeed(serverId: string): number;
  /** Removes the state of services that are not listed. */
  retain(serviceNames: ReadonlySet<string>): void;
}

/**
 * Age that counts without any report: the lifetime of reports. The load of others
 * is then a multiple of the own, and the requests go to servers by their speed.
 */
const MISSING_REPORT_AGE_MS = 3000;

/**
 * Part of the time in which a server prefills; output takes the rest, and long
 * prompts that others have sent since replace some of what was prefilled. Without
 * this reduction of the reported prefill, bursts of short prompts get less credit.
 */
const PREFILL_TIME_RATIO = 0.5;

interface ServiceSpread {
  requests: LoadSpread;
  tokens: LoadSpread;
}

export function createLoadSpreading({
  selfId,
  loads,
  prefillTokensPerMs,
  getServerSpeed = () => 1,
}: LoadSpreadingOptions): LoadSpreading {
  const spreads = new Map<string, ServiceSpread>();

  function getSpread(serviceName: string): ServiceSpread {
    let spread = spreads.get(serviceName);
    if (!spread) {
      spread = {requests: createLoadSpread(), tokens: createLoadSpread()};
      spreads.set(serviceName, spread);
    }
    return spread;
  }

  function buildPlace(instances: readonly string[], now: number): SpreadPlace {
    const age = loads.findReportAge(now);
    return {
      rank: Math.max(0, instances.indexOf(selfId)),
      instances: Math.max(1, instances.length),
      ageMs: age?.ageMs ?? MISSING_REPORT_AGE_MS,
      reportedAt: age?.arrivedAt ?? 0,
    };
  }

  return {
    getSpeed: getServerSpeed,
    plan: (serviceName, servers, instances, now) => {
      const place = buildPlace(instances, now);
      const {requests, tokens} = getSpread(serviceName);
      const {unseen, position} = requests.next(place, now);
      // Requests beyond the slots of a server wait there, and none of them ends.
      const countRunning = ({id, slots}: BackendServer) =>
        Math.min(Math.max(1, slots), loads.getPeerLoad(id, now).inFlight);
      const reported = servers.reduce(
        (sum, server) => sum + countRunning(server) * getServerSpeed(server.id),
        0,
      );
      return {
        unseenRequests: unseen,
        unseenTokens: tokens.next(place, now).unseen,
        position,
        estimateSentRatio: ({id}) =>
          estimateSentRatio({unseen, reported, speed: getServerSpeed(id)}),
        estimateLoad: server => {
          const {id} = server;
          const load = loads.getLoad(id, now);
          const others = loads.getPeerLoad(id, now);
          const speed = getServerSpeed(id);
          const prefilled =
            place.ageMs * PREFILL_TIME_RATIO * prefillTokensPerMs * speed;
          const endedRatio = estimateEndedRatio({unseen, reported, speed});
          return {
            ...load,
            inFlight: load.inFlight - countRunning(server) * endedRatio,
            pendingPrefillTokens:
              load.pendingPrefillTokens -
              Math.min(others.pendingPrefillTokens, prefilled),
          };
        },
      };
    },
    record: (serviceName, promptTokens, now) => {
      const {requests, tokens} = getSpread(serviceName);
      requests.record(1, now);
      if (promptTokens > 0) {
        tokens.record(promptTokens, now);
      }
    },
    retain: serviceNames => {
      for (const name of [...spreads.keys()]) {
        if (!serviceNames.has(name)) {
          spreads.delete(name);
        }
      }
    },
  };
}
