/**
 * Applies the prompt quarantine to the requests of this instance, and observes
 * which of them end their server.
 */
import {
  PromptVerdict,
  createPromptQuarantine,
  isCovered,
} from '@buckthornbeam/decisions';
import type {
  PromptIdentity,
  PromptQuarantine,
  QuarantineEntry,
} from '@buckthornbeam/decisions';
import type {Clock, Logger} from '@buckthornbeam/shared';
import type {BackendServer, PromptBlock} from '../model.js';
import {hashIncarnation} from '../state/prompt_identity.js';
import type {ServerProbe} from './server_probe.js';

/** An attempt whose connection was lost; times are monotonic, in milliseconds. */
export interface CutAttempt {
  requestId: string;
  server: BackendServer;
  blocks: readonly PromptBlock[];
  prompt: PromptIdentity | undefined;
  reason: string;
  /** Events received until then. */
  eventCount: number;
  /** When the head of the answer arrived; undefined without one. */
  headAt: number | undefined;
  at: number;
}

/** Options of {@link createQuarantineGuard}. */
export interface QuarantineGuardOptions {
  selfId: string;
  listInstances: (now: number) => readonly string[];
  probe: ServerProbe;
  clock: Clock;
  logger: Logger;
}

export interface QuarantineGuard {
  readonly quarantine: PromptQuarantine;
  isQuarantined(prompt: PromptIdentity): boolean;
  /** Whether a request whose server ended may run on another one. */
  canRepeat(prompt: PromptIdentity): boolean;
  /**
   * Tracks an attempt before its first event; `abort` is called if its prompt is
   * quarantined. The returned function stops that.
   */
  trackAttempt(prompt: PromptIdentity, abort: () => void): () => void;
  /** Records that the answer to a prompt began at `startedAt`. */
  recordAnswer(prompt: PromptIdentity, startedAt: number): void;
  /** Logs a lost connection, and finds out whether the server has ended. */
  handleCut(attempt: CutAttempt): void;
}

/** Age up to which the head of an answer counts as just arrived. */
const JUST_BEGUN_MS = 250;

function describeEntry(entry: QuarantineEntry) {
  return {
    blocks: entry.blockHashes.map(hash => hash.toString(16)).join('-'),
    customers: entry.customerHashes.length,
    relapses: entry.relapses,
  };
}

export function createQuarantineGuard(
  options: QuarantineGuardOptions,
): QuarantineGuard {
  const {clock, logger} = options;
  const trackedAttempts = new Set<{
    prompt: PromptIdentity;
    abort: () => void;
  }>();
  const quarantine = createPromptQuarantine({
    selfId: options.selfId,
    listInstances: options.listInstances,
    onQuarantine: entry => {
      logger.warn('prompt_quarantined', describeEntry(entry));
      abortCovered(entry);
    },
    onRelease: entry => logger.warn('prompt_released', describeEntry(entry)),
  });

  function abortCovered(entry: QuarantineEntry): void {
    for (const {prompt, abort} of [...trackedAttempts]) {
      if (isCovered(prompt, entry)) {
        abort();
      }
    }
  }

  async function probeCut(
    {server, headAt, at}: CutAttempt,
    prompt: PromptIdentity,
  ): Promise<void> {
    if (await options.probe.hasEnded(server)) {
      quarantine.recordCrash({
        ...prompt,
        serverHash: hashIncarnation(server),
        hasBegun: headAt !== undefined && at - headAt <= JUST_BEGUN_MS,
        at,
      });
    }
  }

  return {
    quarantine,
    isQuarantined: prompt =>
      quarantine.check(prompt, clock.now()) === PromptVerdict.QUARANTINED,
    canRepeat: prompt =>
      quarantine.check(prompt, clock.now()) === PromptVerdict.ALLOWED,
    trackAttempt: (prompt, abort) => {
      quarantine.startTrial(prompt, clock.now());
      const attempt = {prompt, abort};
      trackedAttempts.add(attempt);
      return () => trackedAttempts.delete(attempt);
    },
    recordAnswer: ({blockHashes}, startedAt) =>
      quarantine.recordAnswer(blockHashes, startedAt),
    handleCut: attempt => {
      const {server, prompt, eventCount, headAt, at} = attempt;
      logger.info('attempt_cut', {
        id: attempt.requestId,
        server: server.id,
        reason: attempt.reason,
        events: eventCount,
        headMs: headAt === undefined ? undefined : Math.round(at - headAt),
        blocks: attempt.blocks.map(block => block.id).join(','),
      });
      if (prompt && eventCount === 0) {
        void probeCut(attempt, prompt);
      }
    },
  };
}
