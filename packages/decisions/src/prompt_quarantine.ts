/**
 * Quarantine of prompt blocks that end the servers which begin to answer them:
 * the table of one instance, without I/O. docs/design/quarantine.md describes it.
 */
import {findByRendezvous} from '@buckthornbeam/shared';
import {createCrashEvidence} from './crash_evidence.js';
import type {CrashReport} from './crash_evidence.js';

/** What may be done with a prompt. */
export const PromptVerdict = {
  ALLOWED: 'allowed',
  /** May run, but not once more if its server ends. */
  SUSPECT: 'suspect',
  /** May run as the only one, to find out whether the quarantine can end. */
  TRIAL: 'trial',
  QUARANTINED: 'quarantined',
} as const;
export type PromptVerdict = (typeof PromptVerdict)[keyof typeof PromptVerdict];

/** Blocks that no prompt may contain together. */
export interface QuarantineEntry {
  /** Ascending. */
  blockHashes: readonly number[];
  /**
   * Customers whose requests crashed servers, ascending. The quarantine is for
   * the requests of one customer only until there is a second one.
   */
  customerHashes: readonly number[];
  /** Monotonic time of the last crash, in milliseconds. */
  crashedAt: number;
  /** Earlier quarantines of the blocks that a crash in a trial renewed. */
  relapses: number;
}

/** What an instance tells its peers. */
export type QuarantineNews =
  | ({kind: 'crash'} & CrashReport)
  | {kind: 'answer'; blockHashes: readonly number[]; at: number}
  | ({kind: 'entry'} & QuarantineEntry);

/** The prompt of a request as the quarantine sees it. */
export interface PromptIdentity {
  /** Hash of the last block. */
  requestHash: number;
  /** Hashes of the other blocks. */
  blockHashes: readonly number[];
  /** Hash of the customer; 0 without one. */
  customerHash: number;
}

/** An entry with its key and what is left of it. */
export interface QuarantineStatus extends QuarantineEntry {
  key: string;
  /** Time until a trial, in milliseconds; 0 once one is allowed. */
  remainingMs: number;
}

/** Times are monotonic, in milliseconds. */
export interface PromptQuarantine {
  /** Decides on a prompt; each attempt asks again. */
  check(prompt: PromptIdentity, now: number): PromptVerdict;
  /** Records that a prompt with the verdict `TRIAL` is sent. */
  startTrial(prompt: PromptIdentity, now: number): void;
  /** Records a crash that this instance saw. */
  recordCrash(report: CrashReport): void;
  /** Records that the answer to a prompt began at `startedAt`. */
  recordAnswer(blockHashes: readonly number[], startedAt: number): void;
  /** Accepts the news of a peer; returns those that were new. */
  acceptNews(news: readonly QuarantineNews[]): QuarantineNews[];
  /** Returns the own news since the last call. */
  takeNews(): QuarantineNews[];
  list(now: number): QuarantineStatus[];
  /** Ends a quarantine on all instances; false if there is none with this key. */
  release(key: string, now: number): boolean;
  expire(now: number): void;
}

/** Options of {@link createPromptQuarantine}. */
export interface PromptQuarantineOptions {
  selfId: string;
  /** Lists the instances that share the quarantine, including this one. */
  listInstances: (now: number) => readonly string[];
  /** Called with each entry that is new or that a crash renews. */
  onQuarantine?: (entry: QuarantineEntry) => void;
  /** Called when blocks are no longer in quarantine. */
  onRelease?: (entry: QuarantineEntry) => void;
}

/** Duration of the first quarantine of blocks; doubles with each relapse. */
const FIRST_DURATION_MS = 60_000;
const MAXIMUM_DURATION_MS = 3_600_000;
/** Time for a trial after a quarantine; without one, the entry is removed. */
const TRIAL_WINDOW_MS = 120_000;
/** Pause between two trials at one instance, if the first showed nothing. */
const TRIAL_PAUSE_MS = 15_000;
/** Entries kept; the one with the oldest crash is removed beyond it. */
const MAXIMUM_ENTRIES = 64;
/** Own news that wait for a message; the oldest are dropped beyond it. */
const MAXIMUM_NEWS = 500;
/** Customers kept in an entry; the quarantine is for all from the second on. */
const MAXIMUM_CUSTOMERS = 2;
/** Crash times of an entry that differ by less are the same. */
const SAME_CRASH_MS = 100;

function buildKey(blockHashes: readonly number[]): string {
  return blockHashes.map(hash => hash.toString(16)).join('-');
}

function sortHashes(hashes: Iterable<number>): number[] {
  return [...new Set(hashes)].sort((a, b) => a - b);
}

function isSubset(blocks: readonly number[], all: readonly number[]): boolean {
  return blocks.every(block => all.includes(block));
}

function getTrialAt({crashedAt, relapses}: QuarantineEntry): number {
  const durationMs = FIRST_DURATION_MS * 2 ** relapses;
  return crashedAt + Math.min(MAXIMUM_DURATION_MS, durationMs);
}

/** Whether a prompt contains all blocks of an entry and is of its customers. */
export function isCovered(
  {blockHashes, customerHash}: PromptIdentity,
  entry: QuarantineEntry,
): boolean {
  const {customerHashes} = entry;
  return (
    isSubset(entry.blockHashes, blockHashes) &&
    (customerHashes.length >= MAXIMUM_CUSTOMERS ||
      customerHashes.includes(customerHash))
  );
}

export function createPromptQuarantine(
  options: PromptQuarantineOptions,
): PromptQuarantine {
  const {onQuarantine = () => undefined, onRelease = () => undefined} = options;
  const evidence = createCrashEvidence();
  const entries = new Map<string, QuarantineEntry>();
  /** Start of the last trial at this instance, by key. */
  const trialsAt = new Map<string, number>();
  let waitingNews: QuarantineNews[] = [];

  function addNews(item: QuarantineNews): void {
    waitingNews = [...waitingNews, item].slice(-MAXIMUM_NEWS);
  }

  function removeEntry(key: string): void {
    entries.delete(key);
    trialsAt.delete(key);
  }

  function removeOldest(): void {
    const [oldest] = [...entries].sort(
      ([, a], [, b]) => a.crashedAt - b.crashedAt,
    );
    removeEntry(oldest![0]);
    onRelease(oldest![1]);
  }

  /** Merges an entry into the table; returns the stored one if that changed it. */
  function mergeEntry(entry: QuarantineEntry): QuarantineEntry | undefined {
    const blockHashes = sortHashes(
      entry.blockHashes.filter(
        block => evidence.getAnsweredAt(block) < entry.crashedAt,
      ),
    );
    if (blockHashes.length === 0) {
      return undefined;
    }
    const key = buildKey(blockHashes);
    const known = entries.get(key);
    const customerHashes = sortHashes([
      ...(known?.customerHashes ?? []),
      ...entry.customerHashes,
    ]).slice(0, MAXIMUM_CUSTOMERS);
    const isChanged =
      !known ||
      entry.crashedAt > known.crashedAt + SAME_CRASH_MS ||
      entry.relapses > known.relapses ||
      customerHashes.length > known.customerHashes.length;
    if (!isChanged) {
      return undefined;
    }
    const merged = {
      blockHashes,
      customerHashes,
      crashedAt: Math.max(entry.crashedAt, known?.crashedAt ?? -Infinity),
      relapses: Math.max(entry.relapses, known?.relapses ?? 0),
    };
    entries.set(key, merged);
    return merged;
  }

  /** Removes entries that refuse nothing beyond what a smaller set does. */
  function removeSupersets(entry: QuarantineEntry): void {
    const key = buildKey(entry.blockHashes);
    if (entry.customerHashes.length < MAXIMUM_CUSTOMERS) {
      return;
    }
    for (const [otherKey, other] of [...entries]) {
      if (otherKey !== key && isSubset(entry.blockHashes, other.blockHashes)) {
        removeEntry(otherKey);
      }
    }
  }

  function storeEntry(entry: QuarantineEntry): boolean {
    const stored = mergeEntry(entry);
    if (!stored) {
      return false;
    }
    removeSupersets(stored);
    if (entries.size > MAXIMUM_ENTRIES) {
      removeOldest();
    }
    onQuarantine(stored);
    return true;
  }

  /** Updates the entries whose blocks crashed a server again. */
  function updateEntries({blockHashes, customerHash, at}: CrashReport): void {
    for (const entry of [...entries.values()]) {
      if (isSubset(entry.blockHashes, blockHashes) && at > entry.crashedAt) {
        storeEntry({
          ...entry,
          customerHashes: [...entry.customerHashes, customerHash],
          crashedAt: at,
          relapses: entry.relapses + (at > getTrialAt(entry) ? 1 : 0),
        });
      }
    }
  }

  function applyCrash(report: CrashReport): boolean {
    if (!evidence.add(report)) {
      return false;
    }
    // An answer that peers do not know of may have cleared a block already.
    const answered = report.blockHashes.filter(
      block => evidence.getAnsweredAt(block) >= report.at,
    );
    for (const block of answered) {
      addNews({
        kind: 'answer',
        blockHashes: [block],
        at: evidence.getAnsweredAt(block),
      });
    }
    if (!evidence.isMassCrash(report.at)) {
      updateEntries(report);
      const culprit = evidence.findCulprit(report.blockHashes);
      if (culprit) {
        storeEntry({...culprit, crashedAt: report.at, relapses: 0});
      }
    }
    return true;
  }

  /** Clears blocks; returns those that were suspect or in quarantine. */
  function applyAnswer(blockHashes: readonly number[], at: number): number[] {
    const cleared = new Set(evidence.clear(blockHashes, at));
    for (const [key, entry] of [...entries]) {
      const released = entry.blockHashes.filter(
        block => blockHashes.includes(block) && at >= entry.crashedAt,
      );
      if (released.length > 0) {
        released.forEach(block => cleared.add(block));
        removeEntry(key);
        onRelease({...entry, blockHashes: released});
        storeEntry(entry);
      }
    }
    return [...cleared];
  }

  const handlers: {
    [Kind in QuarantineNews['kind']]: (
      item: Extract<QuarantineNews, {kind: Kind}>,
    ) => boolean;
  } = {
    crash: applyCrash,
    answer: ({blockHashes, at}) => applyAnswer(blockHashes, at).length > 0,
    entry: storeEntry,
  };

  function acceptItem(item: QuarantineNews): boolean {
    const handle = handlers[item.kind] as (value: QuarantineNews) => boolean;
    return handle(item);
  }

  /** Whether this instance may try a prompt with the blocks of an entry. */
  function canTry(key: string, entry: QuarantineEntry, now: number): boolean {
    const lastTrialAt = trialsAt.get(key) ?? -Infinity;
    return (
      now > getTrialAt(entry) &&
      now - lastTrialAt > TRIAL_PAUSE_MS &&
      findByRendezvous(key, options.listInstances(now)) === options.selfId
    );
  }

  function listCovering(prompt: PromptIdentity) {
    return entries.size === 0
      ? []
      : [...entries].filter(([, entry]) => isCovered(prompt, entry));
  }

  return {
    check: (prompt, now) => {
      const covering = listCovering(prompt);
      if (covering.length > 0) {
        return covering.every(([key, entry]) => canTry(key, entry, now))
          ? PromptVerdict.TRIAL
          : PromptVerdict.QUARANTINED;
      }
      return evidence.isSuspect(prompt.blockHashes, prompt.requestHash)
        ? PromptVerdict.SUSPECT
        : PromptVerdict.ALLOWED;
    },
    startTrial: (prompt, now) => {
      listCovering(prompt).forEach(([key]) => trialsAt.set(key, now));
    },
    recordCrash: report => {
      if (applyCrash(report)) {
        addNews({kind: 'crash', ...report});
      }
    },
    recordAnswer: (blockHashes, startedAt) => {
      const cleared = applyAnswer(blockHashes, startedAt);
      if (cleared.length > 0) {
        addNews({kind: 'answer', blockHashes: cleared, at: startedAt});
      }
    },
    acceptNews: news => news.filter(acceptItem),
    takeNews: () => {
      const taken = waitingNews;
      waitingNews = [];
      return taken;
    },
    list: now =>
      [...entries].map(([key, entry]) => ({
        ...entry,
        key,
        remainingMs: Math.max(0, getTrialAt(entry) - now),
      })),
    release: (key, now) => {
      const entry = entries.get(key);
      if (entry) {
        applyAnswer(entry.blockHashes, now);
        addNews({kind: 'answer', blockHashes: entry.blockHashes, at: now});
      }
      return entry !== undefined;
    },
    expire: now => {
      evidence.expire(now);
      for (const [key, entry] of [...entries]) {
        if (now > getTrialAt(entry) + TRIAL_WINDOW_MS) {
          removeEntry(key);
          onRelease(entry);
        }
      }
    },
  };
}
