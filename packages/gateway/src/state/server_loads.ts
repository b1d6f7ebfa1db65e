/** Work in flight at the backend servers: own, and what peers report. */
import {createKnownHash} from '@buckthornbeam/shared';

/** Work at one server. */
export interface ServerWork {
  inFlight: number;
  /** Prompt tokens that are not read yet. */
  unreadTokens: number;
  /** Tokens of all requests in flight. */
  inFlightTokens: number;
  /** Prompt tokens sent lately, per millisecond. */
  readingPerMs: number;
}

/** One request at a server, as long as it lasts. */
export interface WorkTicket {
  /** The server has read the prompt. */
  markRead(): void;
  /** The request has ended. */
  end(): void;
}

/** Work that one instance has at one server. */
export type WorkRow = [
  /** Hash of the server's id. */
  serverHash: number,
  inFlight: number,
  unreadTokens: number,
  inFlightTokens: number,
  /** Prompt tokens sent lately, per millisecond. */
  readingPerMs: number,
];

/** A report of the work that one instance has in flight. */
export type WorkReport = readonly WorkRow[];

/** What one request adds to the work of its server. */
export interface RequestWork {
  /** Prompt tokens that the server has to read. */
  unreadTokens?: number;
  /** Tokens of the prompt and the answer. */
  totalTokens?: number;
}

/** Work at all servers. */
export interface ServerLoads {
  /** Adds a request of this instance. */
  add(serverId: string, work: RequestWork, now: number): WorkTicket;
  /** Work of all instances. */
  getWork(serverId: string, now: number): ServerWork;
  getOwnInFlight(serverId: string): number;
  /** What this instance reports to its peers. */
  buildReport(now: number): WorkReport;
  receiveReport(instanceId: string, report: WorkReport, now: number): void;
}

/**
 * Reports of peers older than this are of no use, in milliseconds. In a fleet
 * of a hundred a report of each peer comes every four seconds.
 */
const REPORT_LIFE_MS = 6000;
/** Time over which the reading of a server is averaged, in milliseconds. */
const READING_WINDOW_MS = 2000;
/** Sums over the reports of peers are renewed after this time, in milliseconds. */
const SUM_LIFE_MS = 25;
/** With so few peers the sums are renewed with each report. */
const SUMMED_AT_ONCE = 16;
/** A reading rate below this is not worth a report, in tokens per millisecond. */
const LEAST_RATE = 0.05;

/** Hashes of server ids that are kept; more than a fleet has servers. */
const MAXIMUM_HASHES = 5000;

interface PeerReport {
  report: WorkReport;
  receivedAt: number;
}

interface OwnWork {
  inFlight: number;
  unreadTokens: number;
  inFlightTokens: number;
  /** Prompt tokens sent, decaying over the window. */
  readingTokens: number;
  decayedAt: number;
}

const NO_WORK: Readonly<ServerWork> = {
  inFlight: 0,
  unreadTokens: 0,
  inFlightTokens: 0,
  readingPerMs: 0,
};

/** Creates loads without work. */
export function createServerLoads(): ServerLoads {
  const own = new Map<string, OwnWork>();
  const peers = new Map<string, PeerReport>();
  const hashServer = createKnownHash(MAXIMUM_HASHES);
  /** By the hash of the server's id. */
  let sums = new Map<number, ServerWork>();
  let summedAt = -Infinity;

  function getOwn(serverId: string, now: number): OwnWork {
    let work = own.get(serverId);
    if (!work) {
      work = {
        inFlight: 0,
        unreadTokens: 0,
        inFlightTokens: 0,
        readingTokens: 0,
        decayedAt: now,
      };
      own.set(serverId, work);
    }
    return work;
  }

  function computeReadingRate(work: OwnWork, now: number): number {
    const elapsed = Math.max(0, now - work.decayedAt);
    work.readingTokens *= Math.exp(-elapsed / READING_WINDOW_MS);
    work.decayedAt = now;
    return work.readingTokens / READING_WINDOW_MS;
  }

  function add(
    serverId: string,
    {unreadTokens = 0, totalTokens = 0}: RequestWork,
    now: number,
  ): WorkTicket {
    const work = getOwn(serverId, now);
    let unread = unreadTokens;
    let isEnded = false;
    computeReadingRate(work, now);
    work.readingTokens += unreadTokens;
    work.inFlight += 1;
    work.unreadTokens += unreadTokens;
    work.inFlightTokens += totalTokens;
    function markRead(): void {
      work.unreadTokens -= unread;
      unread = 0;
    }
    return {
      markRead,
      end: () => {
        if (isEnded) {
          return;
        }
        isEnded = true;
        markRead();
        work.inFlight -= 1;
        work.inFlightTokens -= totalTokens;
      },
    };
  }

  function buildReport(now: number): WorkReport {
    const report: WorkRow[] = [];
    for (const [id, work] of own) {
      const rate = computeReadingRate(work, now);
      if (work.inFlight > 0 || rate > LEAST_RATE) {
        report.push([
          hashServer(id),
          work.inFlight,
          work.unreadTokens,
          work.inFlightTokens,
          rate,
        ]);
      } else {
        own.delete(id);
      }
    }
    return report;
  }

  /** Sums the reports of peers by server; the sums serve for a while. */
  function sumPeers(now: number): Map<number, ServerWork> {
    if (now >= summedAt && now - summedAt < SUM_LIFE_MS) {
      return sums;
    }
    summedAt = now;
    sums = new Map();
    for (const [id, {report, receivedAt}] of peers) {
      if (now - receivedAt > REPORT_LIFE_MS) {
        peers.delete(id);
        continue;
      }
      for (const [serverHash, ...row] of report) {
        const sum = sums.get(serverHash) ?? {...NO_WORK};
        sum.inFlight += row[0];
        sum.unreadTokens += row[1];
        sum.inFlightTokens += row[2];
        sum.readingPerMs += row[3];
        sums.set(serverHash, sum);
      }
    }
    return sums;
  }

  return {
    add,
    getOwnInFlight: serverId => own.get(serverId)?.inFlight ?? 0,
    getWork: (serverId, now) => {
      const work = own.get(serverId);
      const peerWork = sumPeers(now).get(hashServer(serverId)) ?? NO_WORK;
      return {
        inFlight: peerWork.inFlight + (work?.inFlight ?? 0),
        unreadTokens: peerWork.unreadTokens + (work?.unreadTokens ?? 0),
        inFlightTokens: peerWork.inFlightTokens + (work?.inFlightTokens ?? 0),
        readingPerMs:
          peerWork.readingPerMs + (work ? computeReadingRate(work, now) : 0),
      };
    },
    buildReport,
    receiveReport: (instanceId, report, now) => {
      peers.set(instanceId, {report, receivedAt: now});
      if (peers.size <= SUMMED_AT_ONCE) {
        summedAt = -Infinity;
      }
    },
  };
}
