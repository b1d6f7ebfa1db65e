/**
 * Load in flight at the backend servers: of this instance, and of its peers from
 * their load reports.
 */
import {createCachedHash} from '@buckthornbeam/shared';

/** Load at one server. */
export interface ServerLoad {
  /** Number of requests. */
  inFlight: number;
  /** Prompt tokens that are not prefilled yet. */
  pendingPrefillTokens: number;
  /** Tokens of all requests in flight. */
  inFlightTokens: number;
  /** Prompt tokens sent for prefill per millisecond, a decaying average. */
  prefillTokensPerMs: number;
}

/** Handle of one request in flight. */
export interface RequestHandle {
  /** Subtracts the prompt tokens from the load: the prefill is done. */
  markPrefilled(): void;
  /** Removes the request from the load; further calls do nothing. */
  end(): void;
}

/** Load of one instance at one server. */
export type LoadRow = [
  /** Hash of the server's id. */
  serverHash: number,
  /** The remaining elements are the fields of {@link ServerLoad}. */
  inFlight: number,
  pendingPrefillTokens: number,
  inFlightTokens: number,
  prefillTokensPerMs: number,
];

/** Load report: the load of one instance by server. */
export type LoadReport = readonly LoadRow[];

/** What one request adds to the load of its server. */
export interface RequestLoad {
  /** Prompt tokens that the server has to prefill. */
  pendingPrefillTokens?: number;
  /** Tokens to prefill and to generate. */
  totalTokens?: number;
}

/** Load at all servers; `now` is the local monotonic time in milliseconds. */
export interface ServerLoads {
  /** Adds a request of this instance to the load of a server. */
  add(serverId: string, load: RequestLoad, now: number): RequestHandle;
  /** Returns the load of all instances at a server. */
  getLoad(serverId: string, now: number): ServerLoad;
  getOwnInFlight(serverId: string): number;
  /** Builds the report of the own load for the peers. */
  buildReport(now: number): LoadReport;
  receiveReport(instanceId: string, report: LoadReport, now: number): void;
}

/**
 * Age at which a peer's report is dropped. In a fleet of a hundred instances, a
 * report of each peer arrives about every four seconds.
 */
const REPORT_LIFETIME_MS = 6000;
/** Time constant of the average prefill rate. */
const PREFILL_RATE_WINDOW_MS = 2000;
/** Time for which the sums over the reports of peers are cached. */
const SUM_CACHE_MS = 25;
/** Up to this number of peers, each received report invalidates the cached sums. */
const MAXIMUM_IMMEDIATE_PEERS = 16;
/**
 * Reports leave out a server without requests in flight once its prefill rate
 * has decayed to this.
 */
const MINIMUM_REPORTED_TOKENS_PER_MS = 0.05;

/** Cached hashes of server ids; a fleet has fewer servers. */
const MAXIMUM_HASHES = 5000;

interface PeerReport {
  report: LoadReport;
  receivedAt: number;
}

interface OwnLoad {
  inFlight: number;
  pendingPrefillTokens: number;
  inFlightTokens: number;
  /** Prompt tokens sent, with exponential decay. */
  recentPrefillTokens: number;
  decayedAt: number;
}

const NO_LOAD: Readonly<ServerLoad> = {
  inFlight: 0,
  pendingPrefillTokens: 0,
  inFlightTokens: 0,
  prefillTokensPerMs: 0,
};

export function createServerLoads(): ServerLoads {
  const ownLoads = new Map<string, OwnLoad>();
  const peerReports = new Map<string, PeerReport>();
  const hashServer = createCachedHash(MAXIMUM_HASHES);
  /** Sums of the peers' reports, by the hash of the server's id. */
  let peerLoads = new Map<number, ServerLoad>();
  let summedAt = -Infinity;

  function getOwnLoad(serverId: string, now: number): OwnLoad {
    let load = ownLoads.get(serverId);
    if (!load) {
      load = {
        inFlight: 0,
        pendingPrefillTokens: 0,
        inFlightTokens: 0,
        recentPrefillTokens: 0,
        decayedAt: now,
      };
      ownLoads.set(serverId, load);
    }
    return load;
  }

  /** Decays the recent tokens up to now; returns the rate in tokens per millisecond. */
  function computePrefillRate(load: OwnLoad, now: number): number {
    const elapsed = Math.max(0, now - load.decayedAt);
    load.recentPrefillTokens *= Math.exp(-elapsed / PREFILL_RATE_WINDOW_MS);
    load.decayedAt = now;
    return load.recentPrefillTokens / PREFILL_RATE_WINDOW_MS;
  }

  function add(
    serverId: string,
    {pendingPrefillTokens = 0, totalTokens = 0}: RequestLoad,
    now: number,
  ): RequestHandle {
    const load = getOwnLoad(serverId, now);
    let pendingTokens = pendingPrefillTokens;
    let isEnded = false;
    computePrefillRate(load, now);
    load.recentPrefillTokens += pendingPrefillTokens;
    load.inFlight += 1;
    load.pendingPrefillTokens += pendingPrefillTokens;
    load.inFlightTokens += totalTokens;
    function markPrefilled(): void {
      load.pendingPrefillTokens -= pendingTokens;
      pendingTokens = 0;
    }
    return {
      markPrefilled,
      end: () => {
        if (isEnded) {
          return;
        }
        isEnded = true;
        markPrefilled();
        load.inFlight -= 1;
        load.inFlightTokens -= totalTokens;
      },
    };
  }

  function buildReport(now: number): LoadReport {
    const report: LoadRow[] = [];
    for (const [id, load] of ownLoads) {
      const rate = computePrefillRate(load, now);
      if (load.inFlight > 0 || rate > MINIMUM_REPORTED_TOKENS_PER_MS) {
        report.push([
          hashServer(id),
          load.inFlight,
          load.pendingPrefillTokens,
          load.inFlightTokens,
          rate,
        ]);
      } else {
        ownLoads.delete(id);
      }
    }
    return report;
  }

  /** Sums the reports of peers by server; the result is cached for a short time. */
  function sumPeerLoads(now: number): Map<number, ServerLoad> {
    if (now >= summedAt && now - summedAt < SUM_CACHE_MS) {
      return peerLoads;
    }
    summedAt = now;
    peerLoads = new Map();
    for (const [id, {report, receivedAt}] of peerReports) {
      if (now - receivedAt > REPORT_LIFETIME_MS) {
        peerReports.delete(id);
        continue;
      }
      for (const [serverHash, ...row] of report) {
        const peerLoad = peerLoads.get(serverHash) ?? {...NO_LOAD};
        peerLoad.inFlight += row[0];
        peerLoad.pendingPrefillTokens += row[1];
        peerLoad.inFlightTokens += row[2];
        peerLoad.prefillTokensPerMs += row[3];
        peerLoads.set(serverHash, peerLoad);
      }
    }
    return peerLoads;
  }

  return {
    add,
    getOwnInFlight: serverId => ownLoads.get(serverId)?.inFlight ?? 0,
    getLoad: (serverId, now) => {
      const ownLoad = ownLoads.get(serverId);
      const peerLoad = sumPeerLoads(now).get(hashServer(serverId)) ?? NO_LOAD;
      return {
        inFlight: peerLoad.inFlight + (ownLoad?.inFlight ?? 0),
        pendingPrefillTokens:
          peerLoad.pendingPrefillTokens + (ownLoad?.pendingPrefillTokens ?? 0),
        inFlightTokens:
          peerLoad.inFlightTokens + (ownLoad?.inFlightTokens ?? 0),
        prefillTokensPerMs:
          peerLoad.prefillTokensPerMs +
          (ownLoad ? computePrefillRate(ownLoad, now) : 0),
      };
    },
    buildReport,
    receiveReport: (instanceId, report, now) => {
      peerReports.set(instanceId, {report, receivedAt: now});
      if (peerReports.size <= MAXIMUM_IMMEDIATE_PEERS) {
        summedAt = -Infinity;
      }
    },
  };
}
