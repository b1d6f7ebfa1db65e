/** Work in flight at the backend servers: own, and what peers report. */

/** Work at one server. */
export interface ServerWork {
  inFlight: number;
  /** Prompt tokens that are not read yet. */
  unreadTokens: number;
  /** Tokens of all requests in flight. */
  inFlightTokens: number;
}

/** One request at a server, as long as it lasts. */
export interface WorkTicket {
  /** The server has read the prompt. */
  markRead(): void;
  /** The request has ended. */
  end(): void;
}

/** A report of the work that one instance has in flight. */
export type WorkReport = Record<string, [number, number, number]>;

/** Work at all servers. */
export interface ServerLoads {
  /** Adds a request of this instance. */
  add(serverId: string, unreadTokens: number, totalTokens: number): WorkTicket;
  /** Work of all instances. */
  getWork(serverId: string, now: number): ServerWork;
  getOwnInFlight(serverId: string): number;
  /** What this instance reports to its peers. */
  buildReport(): WorkReport;
  receiveReport(instanceId: string, report: WorkReport, now: number): void;
}

/** Reports of peers older than this are of no use, in milliseconds. */
const REPORT_LIFE_MS = 2500;

interface PeerReport {
  report: WorkReport;
  receivedAt: number;
}

/** Creates loads without work. */
export function createServerLoads(): ServerLoads {
  const own = new Map<string, ServerWork>();
  const peers = new Map<string, PeerReport>();

  function getOwn(serverId: string): ServerWork {
    let work = own.get(serverId);
    if (!work) {
      work = {inFlight: 0, unreadTokens: 0, inFlightTokens: 0};
      own.set(serverId, work);
    }
    return work;
  }

  function add(
    serverId: string,
    unreadTokens: number,
    totalTokens: number,
  ): WorkTicket {
    const work = getOwn(serverId);
    let unread = unreadTokens;
    let isEnded = false;
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
        if (work.inFlight === 0) {
          own.delete(serverId);
        }
      },
    };
  }

  return {
    add,
    getOwnInFlight: serverId => own.get(serverId)?.inFlight ?? 0,
    getWork: (serverId, now) => {
      const sum = {
        inFlight: 0,
        unreadTokens: 0,
        inFlightTokens: 0,
        ...own.get(serverId),
      };
      for (const {report, receivedAt} of peers.values()) {
        const entry = report[serverId];
        if (entry && now - receivedAt <= REPORT_LIFE_MS) {
          sum.inFlight += entry[0];
          sum.unreadTokens += entry[1];
          sum.inFlightTokens += entry[2];
        }
      }
      return sum;
    },
    buildReport: () =>
      Object.fromEntries(
        [...own].map(([id, work]) => [
          id,
          [work.inFlight, work.unreadTokens, work.inFlightTokens],
        ]),
      ),
    receiveReport: (instanceId, report, now) => {
      peers.set(instanceId, {report, receivedAt: now});
    },
  };
}
