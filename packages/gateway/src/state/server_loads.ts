/**
 * Load in flight at the backend servers: of this instance, and of its peers from
 * their load reports, from sums over groups of instances, or from the totals over
 * the fleet that a publisher sends.
 */
import {createCachedHash} from '@buckthornbeam/shared';
import {NO_LOAD, addReport, computeLoadError, listRows} from './load_sums.js';
import type {LoadReport, LoadRow, ServerLoad} from './load_sums.js';

export type {LoadReport, LoadRow, ServerLoad} from './load_sums.js';

/** Handle of one request in flight. */
export interface RequestHandle {
  /** Subtracts the prompt tokens from the load: the prefill is done. */
  markPrefilled(): void;
  /** Removes the request from the load; further calls do nothing. */
  end(): void;
}

/** What one request adds to the load of its server. */
export interface RequestLoad {
  /** Prompt tokens that the server has to prefill. */
  pendingPrefillTokens?: number;
  /** Tokens to prefill and to generate. */
  totalTokens?: number;
}

/** Age of the load reports in use. */
export interface ReportAge {
  /** Mean age of the loads, in milliseconds. */
  ageMs: number;
  /**
   * When the totals arrived; 0 if there are none, since the reports of a full mesh
   * arrive one by one.
   */
  arrivedAt: number;
}

/** Load at all servers; `now` is the local monotonic time in milliseconds. */
export interface ServerLoads {
  /** Adds a request of this instance to the load of a server. */
  add(serverId: string, load: RequestLoad, now: number): RequestHandle;
  /** Returns the load of all instances at a server. */
  getLoad(serverId: string, now: number): ServerLoad;
  getOwnInFlight(serverId: string): number;
  /** Returns the load of the other instances at a server, as reported. */
  getPeerLoad(serverId: string, now: number): ServerLoad;
  /** Returns the age of the loads of others; undefined without any report. */
  findReportAge(now: number): ReportAge | undefined;
  /** Builds the report of the own load and notes it as sent. */
  buildReport(now: number): LoadReport;
  /** Builds the sum of the own load and the reports of the own group. */
  buildGroupSum(now: number): LoadReport;
  /** Builds the sum over all groups, of which the own is one. */
  buildTotals(now: number): LoadReport;
  /** Accepts the report of an instance of the own group. */
  receiveReport(instanceId: string, report: LoadReport, now: number): void;
  /** Accepts the sum of another group. */
  receiveGroupSum(groupKey: string, report: LoadReport, now: number): void;
  /**
   * Accepts the totals over the fleet, which replace reports and sums until they
   * expire. They are taken to contain the own report that was sent last.
   */
  receiveTotals(report: LoadReport, now: number): void;
  /** Uses the reports and sums again, once this instance publishes itself. */
  dropTotals(): void;
  /** Drops the sums of groups that are not listed, and the reports of members. */
  retain(groupKeys: ReadonlySet<string>, memberIds: ReadonlySet<string>): void;
  /** Drops everything received, after a suspension of the process. */
  clearReceived(): void;
  /** Incremented with each change of the own load. */
  getChangeCount(): number;
}

/**
 * Age at which received loads are dropped; longer than the replacement of a
 * publisher takes.
 */
const REPORT_LIFETIME_MS = 3000;
/** An own report that was sent less long ago is not in the totals yet. */
const REPORT_TRANSIT_MS = 20;
/**
 * Mean age of the loads in totals when they arrive: a report, the sum of a group and
 * the totals each wait for half a round on average.
 */
const TOTALS_AGE_MS = 190;
/** Time constant of the average prefill rate. */
const PREFILL_RATE_WINDOW_MS = 2000;
/** Time for which sums are cached unless a report arrives. */
const SUM_CACHE_MS = 25;
/**
 * Reports leave out a server without requests in flight once its prefill rate
 * has decayed to this.
 */
const MINIMUM_REPORTED_TOKENS_PER_MS = 0.05;

/** Cached hashes of server ids; a fleet has fewer servers. */
const MAXIMUM_HASHES = 5000;

/** A report with the local time at which it was received or sent. */
interface TimedReport {
  report: LoadReport;
  at: number;
}

interface Totals extends TimedReport {
  /** Own report that the totals contain. */
  ownReport: LoadReport;
}

interface OwnLoad {
  inFlight: number;
  pendingPrefillTokens: number;
  inFlightTokens: number;
  /** Prompt tokens sent, with exponential decay. */
  recentPrefillTokens: number;
  decayedAt: number;
}

function removeUnlisted(
  reports: Map<string, TimedReport>,
  keys: ReadonlySet<string>,
): void {
  for (const key of [...reports.keys()]) {
    if (!keys.has(key)) {
      reports.delete(key);
    }
  }
}

/** Options of {@link createServerLoads}. */
export interface ServerLoadsOptions {
  /** Called after each change of the own load. */
  onChange?: () => void;
  /**
   * Called when reports arrive, with the mean error that the earlier ones had by
   * then: the difference of the requests in flight at a server.
   */
  onLoadError?: (requests: number) => void;
}

export function createServerLoads({
  onChange = () => undefined,
  onLoadError = () => undefined,
}: ServerLoadsOptions = {}): ServerLoads {
  const ownLoads = new Map<string, OwnLoad>();
  const memberReports = new Map<string, TimedReport>();
  const groupSums = new Map<string, TimedReport>();
  let totals: Totals | undefined;
  /** The last reports that were sent, newest first. */
  let sentReports: TimedReport[] = [];
  const hashServer = createCachedHash(MAXIMUM_HASHES);
  /** Load of all peers, by the hash of the server's id. */
  let peerLoads = new Map<number, ServerLoad>();
  let summedAt = -Infinity;
  let changeCount = 0;

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

  function recordChange(): void {
    changeCount += 1;
    onChange();
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
    recordChange();
    function removePending(): void {
      load.pendingPrefillTokens -= pendingTokens;
      pendingTokens = 0;
    }
    return {
      markPrefilled: () => {
        if (pendingTokens > 0) {
          removePending();
          recordChange();
        }
      },
      end: () => {
        if (isEnded) {
          return;
        }
        isEnded = true;
        removePending();
        load.inFlight -= 1;
        load.inFlightTokens -= totalTokens;
        recordChange();
      },
    };
  }

  function listOwnRows(now: number): LoadReport {
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

  function addFresh(
    sums: Map<number, ServerLoad>,
    reports: Map<string, TimedReport>,
    now: number,
  ): void {
    for (const [key, {report, at}] of reports) {
      if (now - at > REPORT_LIFETIME_MS) {
        reports.delete(key);
      } else {
        addReport(sums, report);
      }
    }
  }

  function sumReceived(now: number): Map<number, ServerLoad> {
    const sums = new Map<number, ServerLoad>();
    if (totals && now - totals.at <= REPORT_LIFETIME_MS) {
      addReport(sums, totals.report);
      addReport(sums, totals.ownReport, -1);
      return sums;
    }
    totals = undefined;
    addFresh(sums, memberReports, now);
    addFresh(sums, groupSums, now);
    return sums;
  }

  /** Sums the load of all peers by server; the result is cached for a short time. */
  function sumPeerLoads(now: number): Map<number, ServerLoad> {
    if (now < summedAt || now - summedAt >= SUM_CACHE_MS) {
      summedAt = now;
      peerLoads = sumReceived(now);
    }
    return peerLoads;
  }

  function getPeerLoad(serverId: string, now: number): ServerLoad {
    return sumPeerLoads(now).get(hashServer(serverId)) ?? NO_LOAD;
  }

  function resetSums(): void {
    summedAt = -Infinity;
  }

  function findReportAge(now: number): ReportAge | undefined {
    if (totals && now - totals.at <= REPORT_LIFETIME_MS) {
      return {ageMs: now - totals.at + TOTALS_AGE_MS, arrivedAt: totals.at};
    }
    let count = 0;
    let ageSum = 0;
    for (const reports of [memberReports, groupSums]) {
      for (const {at} of reports.values()) {
        if (now - at <= REPORT_LIFETIME_MS) {
          count += 1;
          ageSum += now - at;
        }
      }
    }
    return count > 0 ? {ageMs: ageSum / count, arrivedAt: 0} : undefined;
  }

  /** Reports how far the loads of others were from what has just arrived. */
  function reportError(before: ReadonlyMap<number, ServerLoad>, now: number) {
    const error = computeLoadError(before, sumPeerLoads(now));
    if (error !== undefined) {
      onLoadError(error);
    }
  }

  function buildReport(now: number): LoadReport {
    const report = listOwnRows(now);
    sentReports = [{report, at: now}, ...sentReports].slice(0, 2);
    return report;
  }

  function acceptTotals(report: LoadReport, now: number): void {
    const included = sentReports.find(
      ({at}) => now - at >= REPORT_TRANSIT_MS && now - at <= REPORT_LIFETIME_MS,
    );
    const before = totals && sumReceived(now);
    totals = {report, at: now, ownReport: included?.report ?? []};
    resetSums();
    if (before) {
      reportError(before, now);
    }
  }

  return {
    add,
    getOwnInFlight: serverId => ownLoads.get(serverId)?.inFlight ?? 0,
    getPeerLoad,
    findReportAge,
    getLoad: (serverId, now) => {
      const ownLoad = ownLoads.get(serverId);
      const peerLoad = getPeerLoad(serverId, now);
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
    buildGroupSum: now => {
      const sums = new Map<number, ServerLoad>();
      addReport(sums, listOwnRows(now));
      addFresh(sums, memberReports, now);
      return listRows(sums);
    },
    buildTotals: now => {
      const sums = new Map<number, ServerLoad>();
      addReport(sums, listOwnRows(now));
      addFresh(sums, memberReports, now);
      addFresh(sums, groupSums, now);
      return listRows(sums);
    },
    receiveReport: (instanceId, report, now) => {
      memberReports.set(instanceId, {report, at: now});
      resetSums();
    },
    receiveGroupSum: (groupKey, report, now) => {
      groupSums.set(groupKey, {report, at: now});
      resetSums();
    },
    receiveTotals: acceptTotals,
    dropTotals: () => {
      totals = undefined;
      resetSums();
    },
    retain: (groupKeys, memberIds) => {
      removeUnlisted(groupSums, groupKeys);
      removeUnlisted(memberReports, memberIds);
      resetSums();
    },
    clearReceived: () => {
      groupSums.clear();
      memberReports.clear();
      totals = undefined;
      resetSums();
    },
    getChangeCount: () => changeCount,
  };
}
