/**
 * Evidence that a block of prompts ends the servers that begin to answer it. A
 * crash is evidence against the blocks of the requests that had no event of their
 * answer; an answer that begins later clears all blocks of its prompt.
 */
import {createLazyCache} from '@buckthornbeam/shared';

/** A request whose server ended before the first event of its answer. */
export interface CrashReport {
  /** Hash of the server's incarnation; all hashes are unsigned 32-bit integers. */
  serverHash: number;
  /** Hash of the last block, which is the same for all attempts of a request. */
  requestHash: number;
  /** Hash of the customer; 0 without one. */
  customerHash: number;
  /** Hashes of the other blocks of the prompt. */
  blockHashes: readonly number[];
  /** Whether the head of the answer had just arrived. */
  hasBegun: boolean;
  /** Monotonic time of the crash, in milliseconds. */
  at: number;
}

/** The common cause of several crashes. */
export interface Culprit {
  /** Blocks that the prompts have in common and that no later answer cleared. */
  blockHashes: number[];
  customerHashes: number[];
}

export interface CrashEvidence {
  /** Adds a report; false if it was known, or concerns no block. */
  add(report: CrashReport): boolean;
  /**
   * Clears the blocks of an answer that began at `startedAt`; returns those that
   * were under suspicion.
   */
  clear(blockHashes: readonly number[], startedAt: number): number[];
  /** Returns when the last answer with the block began; -Infinity without one. */
  getAnsweredAt(blockHash: number): number;
  /** Whether another request lost its server with one of these blocks. */
  isSuspect(blockHashes: readonly number[], requestHash: number): boolean;
  /** Finds the cause of enough crashes of these blocks. */
  findCulprit(blockHashes: readonly number[]): Culprit | undefined;
  /** Whether so many servers ended at about this time that no request is the cause. */
  isMassCrash(at: number): boolean;
  /** Removes old reports. */
  expire(now: number): void;
}

/** Options of {@link createCrashEvidence}. */
export interface CrashEvidenceOptions {
  /** Reports kept; the oldest are dropped beyond it. */
  maximumReports?: number;
  /** Blocks whose last answer is kept. */
  maximumBlocks?: number;
}

const DEFAULT_MAXIMUM_REPORTS = 500;
const DEFAULT_MAXIMUM_BLOCKS = 20_000;
/** Weights of a crash: of a request whose answer had begun, and of one that waited. */
const BEGUN_WEIGHT = 3;
const WAITING_WEIGHT = 2;
/** Weight of the crashes from which a block is the culprit. */
const CULPRIT_WEIGHT = 6;
/**
 * Added to that weight for each crash without the block since its first one, up to
 * the maximum: servers then end by other causes too, which may hit the block.
 */
const UNRELATED_CRASH_WEIGHT = 1;
const MAXIMUM_UNRELATED_WEIGHT = 6;
/** Crashes within this time of each other count as one. */
const SAME_MOMENT_MS = 100;
/** Servers that end at the same moment by another cause than a request. */
const MASS_CRASH_SERVERS = 3;
/** Reports of one request and server within this time are the same. */
const SAME_REPORT_MS = 1000;
/** Time after which a report is removed. */
const REPORT_LIFETIME_MS = 120_000;

function getWeight({hasBegun}: CrashReport): number {
  return hasBegun ? BEGUN_WEIGHT : WAITING_WEIGHT;
}

export function createCrashEvidence({
  maximumReports = DEFAULT_MAXIMUM_REPORTS,
  maximumBlocks = DEFAULT_MAXIMUM_BLOCKS,
}: CrashEvidenceOptions = {}): CrashEvidence {
  /** In the order of their times. */
  let reports: CrashReport[] = [];
  /** Number of reports by block, cleared or not. */
  const reportCounts = new Map<number, number>();
  const answeredAt = createLazyCache<number, number>(maximumBlocks);

  function updateCounts({blockHashes}: CrashReport, change: 1 | -1): void {
    for (const block of blockHashes) {
      const count = (reportCounts.get(block) ?? 0) + change;
      if (count > 0) {
        reportCounts.set(block, count);
      } else {
        reportCounts.delete(block);
      }
    }
  }

  function removeOldest(count: number): void {
    reports.slice(0, count).forEach(report => updateCounts(report, -1));
    reports = reports.slice(count);
  }

  function getAnsweredAt(block: number): number {
    return answeredAt.get(block) ?? -Infinity;
  }

  /** Lists the reports against a block since its last answer. */
  function listReports(block: number): CrashReport[] {
    const clearedAt = getAnsweredAt(block);
    return reportCounts.has(block)
      ? reports.filter(
          report => report.at > clearedAt && report.blockHashes.includes(block),
        )
      : [];
  }

  function isMassCrash(at: number): boolean {
    const servers = reports
      .filter(report => Math.abs(report.at - at) <= SAME_MOMENT_MS)
      .map(report => report.serverHash);
    return new Set(servers).size >= MASS_CRASH_SERVERS;
  }

  /**
   * Lists the reports against a block that do not have a request, a server or a
   * moment in common, those of the highest weight first.
   */
  function listIndependent(block: number): CrashReport[] {
    const independent: CrashReport[] = [];
    const candidates = listReports(block).sort(
      (a, b) => getWeight(b) - getWeight(a),
    );
    for (const report of candidates) {
      const isRelated = independent.some(
        other =>
          Math.abs(report.at - other.at) < SAME_MOMENT_MS ||
          report.requestHash === other.requestHash ||
          report.serverHash === other.serverHash,
      );
      if (!isRelated && !isMassCrash(report.at)) {
        independent.push(report);
      }
    }
    return independent;
  }

  /** Counts the moments since `from` at which servers ended without the block. */
  function countUnrelated(block: number, from: number): number {
    const ofBlock = reports.filter(item => item.blockHashes.includes(block));
    let count = 0;
    let lastAt = -Infinity;
    for (const {at} of reports) {
      const isUnrelated =
        at >= from &&
        at - lastAt >= SAME_MOMENT_MS &&
        !isMassCrash(at) &&
        !ofBlock.some(item => Math.abs(item.at - at) < SAME_MOMENT_MS);
      if (isUnrelated) {
        count += 1;
        lastAt = at;
      }
    }
    return count;
  }

  /** Whether the independent reports against a block suffice. */
  function isCulprit(block: number, counted: readonly CrashReport[]): boolean {
    const weight = counted.reduce((sum, report) => sum + getWeight(report), 0);
    if (weight < CULPRIT_WEIGHT) {
      return false;
    }
    const firstAt = Math.min(...counted.map(report => report.at));
    const unrelatedWeight = Math.min(
      MAXIMUM_UNRELATED_WEIGHT,
      countUnrelated(block, firstAt) * UNRELATED_CRASH_WEIGHT,
    );
    return weight >= CULPRIT_WEIGHT + unrelatedWeight;
  }

  function buildCulprit(counted: readonly CrashReport[]): Culprit {
    const lastAt = Math.max(...counted.map(report => report.at));
    return {
      blockHashes: counted[0]!.blockHashes.filter(
        block =>
          getAnsweredAt(block) < lastAt &&
          counted.every(report => report.blockHashes.includes(block)),
      ),
      customerHashes: [...new Set(counted.map(report => report.customerHash))],
    };
  }

  function isKnown({serverHash, requestHash, at}: CrashReport): boolean {
    return reports.some(
      report =>
        report.serverHash === serverHash &&
        report.requestHash === requestHash &&
        Math.abs(report.at - at) < SAME_REPORT_MS,
    );
  }

  return {
    add: report => {
      if (report.blockHashes.length === 0 || isKnown(report)) {
        return false;
      }
      reports.push(report);
      reports.sort((a, b) => a.at - b.at);
      updateCounts(report, 1);
      removeOldest(Math.max(0, reports.length - maximumReports));
      return true;
    },
    clear: (blockHashes, startedAt) => {
      const suspects = blockHashes.filter(block =>
        listReports(block).some(report => report.at <= startedAt),
      );
      for (const block of blockHashes) {
        answeredAt.set(block, Math.max(startedAt, getAnsweredAt(block)));
      }
      return suspects;
    },
    getAnsweredAt,
    isSuspect: (blockHashes, requestHash) =>
      blockHashes.some(block =>
        listReports(block).some(report => report.requestHash !== requestHash),
      ),
    findCulprit: blockHashes =>
      blockHashes
        .map(block => ({block, counted: listIndependent(block)}))
        .filter(({block, counted}) => isCulprit(block, counted))
        .map(({counted}) => buildCulprit(counted))
        // The smallest set has the most evidence that tells its blocks apart.
        .sort((a, b) => a.blockHashes.length - b.blockHashes.length)[0],
    isMassCrash,
    expire: now => {
      const kept = reports.findIndex(
        report => now - report.at <= REPORT_LIFETIME_MS,
      );
      removeOldest(kept < 0 ? reports.length : kept);
    },
  };
}
