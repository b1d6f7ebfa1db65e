/**
 * Simulates a model server with continuous batching, chunked prefill between
 * the decoding steps of other requests, prefix caching, and preemption of the
 * newest of the least urgent requests.
 */
import type {EventQueue} from './event_queue.js';
import type {ServerNeedState} from './server_need.js';
import type {
  EngineJob,
  SimulatedEngine,
  EngineProfile,
  EngineTotals,
} from './engine.js';

interface JobState {
  job: EngineJob;
  arrivalOrder: number;
  /** Tokens to prefill; after a preemption these include the lost output. */
  pendingPrefillTokens: number;
  /** Shared blocks in the KV cache that this job references. */
  referencedKeys: string[];
  /** Tokens in the KV cache that only this job uses. */
  unsharedTokens: number;
  generatedTokens: number;
  isRunning: boolean;
}

interface CachedBlock {
  tokens: number;
  /** Running jobs that use the block; it can be evicted at 0. */
  referenceCount: number;
  lastUsedAt: number;
}

/** Options of {@link createSimulatedEngine}. */
export interface SimulatedEngineOptions {
  profile: EngineProfile;
  eventQueue: EventQueue;
  /** Ratio of the server's step times to those of the profile; 1 by default. */
  stepTimeRatio?: number;
}

/** Creates a server that is up and has an empty KV cache. */
export function createSimulatedEngine(
  options: SimulatedEngineOptions,
): SimulatedEngine {
  const {profile, eventQueue, stepTimeRatio = 1} = options;
  const totals: EngineTotals = {
    prefilledTokens: 0,
    copiedTokens: 0,
    preemptions: 0,
  };
  const cachedBlocks = new Map<string, CachedBlock>();
  let waiting: JobState[] = [];
  let running: JobState[] = [];
  /** Tokens in the KV cache that running jobs use. */
  let usedTokens = 0;
  /** Tokens of cached blocks that no running job references. */
  let evictableTokens = 0;
  let lastArrivalOrder = 0;
  let isStepping = false;
  let isUp = true;
  let isLeaving = false;
  let need: ServerNeedState | undefined;
  /** End of the last scheduled copy; copies run one after another. */
  let linkFreeAt = 0;
  /** Steps and copies scheduled before a crash compare it to detect the crash. */
  let crashCount = 0;

  /** Counts the prompt tokens whose shared blocks are in the KV cache. */
  function countCachedTokens(item: JobState): number {
    let cachedTokens = 0;
    for (const {key, tokens} of item.job.blocks) {
      if (key === '' || !cachedBlocks.has(key)) {
        break;
      }
      cachedTokens += tokens;
    }
    return cachedTokens;
  }

  function countPromptTokens({job}: JobState): number {
    return job.blocks.reduce((sum, block) => sum + block.tokens, 0);
  }

  /** References a shared block, which is added to the KV cache if missing. */
  function addReference(item: JobState, key: string, tokens: number): void {
    let block = cachedBlocks.get(key);
    if (!block) {
      block = {tokens, referenceCount: 0, lastUsedAt: eventQueue.now};
      cachedBlocks.set(key, block);
      usedTokens += tokens;
    } else if (block.referenceCount === 0) {
      evictableTokens -= tokens;
      usedTokens += tokens;
    }
    block.referenceCount += 1;
    block.lastUsedAt = eventQueue.now;
    item.referencedKeys.push(key);
  }

  /** Frees the unshared tokens of a job and drops its block references. */
  function releaseKvCache(item: JobState): void {
    usedTokens -= item.unsharedTokens;
    item.unsharedTokens = 0;
    for (const key of item.referencedKeys) {
      const block = cachedBlocks.get(key)!;
      block.referenceCount -= 1;
      block.lastUsedAt = eventQueue.now;
      if (block.referenceCount === 0) {
        usedTokens -= block.tokens;
        evictableTokens += block.tokens;
      }
    }
    item.referencedKeys = [];
  }

  /** Evicts the least recently used unreferenced blocks down to the capacity. */
  function removeUnusedBlocks(): void {
    if (usedTokens + evictableTokens <= profile.kvCacheTokens) {
      return;
    }
    const unusedBlocks = [...cachedBlocks]
      .filter(([, block]) => block.referenceCount === 0)
      .sort(([, a], [, b]) => a.lastUsedAt - b.lastUsedAt);
    for (const [key, {tokens}] of unusedBlocks) {
      if (usedTokens + evictableTokens <= profile.kvCacheTokens) {
        return;
      }
      cachedBlocks.delete(key);
      evictableTokens -= tokens;
    }
  }

  function startJob(item: JobState): void {
    const cachedTokens = countCachedTokens(item);
    let position = 0;
    for (const {key, tokens} of item.job.blocks) {
      position += tokens;
      if (position <= cachedTokens) {
        addReference(item, key, tokens);
      }
    }
    item.pendingPrefillTokens =
      countPromptTokens(item) - cachedTokens + item.generatedTokens;
    item.unsharedTokens = item.pendingPrefillTokens;
    usedTokens += item.unsharedTokens;
    item.isRunning = true;
    running.push(item);
    removeUnusedBlocks();
  }

  /** Sorts by urgency, then by arrival. */
  function compareUrgency(a: JobState, b: JobState): number {
    return a.job.urgency - b.job.urgency || a.arrivalOrder - b.arrivalOrder;
  }

  /**
   * Returns the newest of the least urgent running jobs to the queue. Returns
   * false if no running job is less urgent than `urgency`.
   */
  function preemptFor(urgency: number): boolean {
    const victim = running.reduce<JobState | undefined>(
      (last, item) => (!last || compareUrgency(item, last) > 0 ? item : last),
      undefined,
    );
    if (!victim || victim.job.urgency <= urgency) {
      return false;
    }
    totals.preemptions += 1;
    running = running.filter(item => item !== victim);
    releaseKvCache(victim);
    victim.isRunning = false;
    waiting.push(victim);
    return true;
  }

  function hasRoom(item: JobState): boolean {
    const requiredTokens =
      countPromptTokens(item) - countCachedTokens(item) + item.generatedTokens;
    return (
      running.length < profile.slots &&
      usedTokens + requiredTokens <= profile.kvCacheTokens
    );
  }

  /**
   * Starts the most urgent waiting job, preempting less urgent ones if the
   * batch or the KV cache is full. Returns undefined if no job was started.
   */
  function startNextJob(): JobState | undefined {
    waiting.sort(compareUrgency);
    const [next] = waiting;
    while (next && !hasRoom(next)) {
      if (!preemptFor(next.job.urgency)) {
        return undefined;
      }
    }
    if (next) {
      waiting = waiting.filter(item => item !== next);
      startJob(next);
    }
    return next;
  }

  /** Adds the shared blocks to the KV cache; called when prefill has ended. */
  function addSharedBlocks(item: JobState): void {
    for (const {key, tokens} of item.job.blocks) {
      if (key === '') {
        break;
      }
      if (!item.referencedKeys.includes(key)) {
        usedTokens -= tokens;
        item.unsharedTokens -= tokens;
        addReference(item, key, tokens);
      }
    }
  }

  /**
   * Copies the missing shared blocks that the copy source has cached. Returns
   * the time at which the copy is complete; now if there is nothing to copy.
   */
  function fetchSharedBlocks({copySource, blocks}: EngineJob): number {
    let copiedTokens = 0;
    for (const {key, tokens} of blocks) {
      if (key === '' || !(cachedBlocks.has(key) || copySource?.isCached(key))) {
        break;
      }
      if (!cachedBlocks.has(key)) {
        cachedBlocks.set(key, {
          tokens,
          referenceCount: 0,
          lastUsedAt: eventQueue.now,
        });
        evictableTokens += tokens;
        copiedTokens += tokens;
      }
    }
    removeUnusedBlocks();
    if (copiedTokens === 0) {
      return eventQueue.now;
    }
    totals.copiedTokens += copiedTokens;
    linkFreeAt =
      Math.max(eventQueue.now, linkFreeAt) +
      profile.copySetUpMs +
      copiedTokens / profile.copiedTokensPerMs;
    return linkFreeAt;
  }

  /**
   * Prefills one chunk: first the prompts of running jobs, then those of
   * waiting jobs, which are started for it. Returns the prefilled tokens.
   */
  function runPrefillChunk(): number {
    let remainingTokens = profile.prefillChunkTokens;
    function runJobPrefill(item: JobState): void {
      const prefilledTokens = Math.min(
        remainingTokens,
        item.pendingPrefillTokens,
      );
      item.pendingPrefillTokens -= prefilledTokens;
      remainingTokens -= prefilledTokens;
      if (item.pendingPrefillTokens === 0) {
        addSharedBlocks(item);
      }
    }
    running.forEach(runJobPrefill);
    while (remainingTokens > 0) {
      const started = startNextJob();
      if (!started) {
        break;
      }
      runJobPrefill(started);
    }
    const total = profile.prefillChunkTokens - remainingTokens;
    totals.prefilledTokens += total;
    return total;
  }

  function addToken(item: JobState): void {
    item.generatedTokens += 1;
    item.unsharedTokens += 1;
    usedTokens += 1;
    const isLast = item.generatedTokens >= item.job.outputTokens;
    if (isLast) {
      running = running.filter(other => other !== item);
      releaseKvCache(item);
    }
    if (isLast || item.generatedTokens % profile.tokensPerEvent === 0) {
      item.job.onEvent(isLast);
    }
  }

  function endStep(): void {
    for (const item of running.filter(
      other => other.pendingPrefillTokens === 0,
    )) {
      addToken(item);
    }
    while (usedTokens > profile.kvCacheTokens && preemptFor(-1)) {
      // Each iteration frees the KV cache of one job.
    }
    removeUnusedBlocks();
    runStep();
  }

  function runStep(): void {
    const prefilledTokens = runPrefillChunk();
    isStepping = running.length > 0;
    if (!isStepping) {
      return;
    }
    const profileDurationMs =
      profile.stepMs +
      profile.stepMsPerRequest * running.length +
      (profile.contextMsPerThousandTokens * usedTokens) / 1000 +
      prefilledTokens / profile.prefillTokensPerMs;
    const crashCountAtStart = crashCount;
    eventQueue.runAt(eventQueue.now + profileDurationMs * stepTimeRatio, () => {
      if (crashCountAtStart === crashCount) {
        endStep();
      }
    });
  }

  return {
    totals,
    get isUp() {
      return isUp;
    },
    buildStatement: isRefusal => ({
      isLeaving,
      ...need?.buildStatement(isRefusal),
    }),
    isCached: key => cachedBlocks.has(key),
    submit: job => {
      const isFull = waiting.length >= profile.maximumWaitingRequests;
      if (!isUp || isFull || !(need?.accept(eventQueue.now) ?? true)) {
        return false;
      }
      lastArrivalOrder += 1;
      const item = {
        job,
        arrivalOrder: lastArrivalOrder,
        pendingPrefillTokens: 0,
        referencedKeys: [],
        unsharedTokens: 0,
        generatedTokens: 0,
        isRunning: false,
      };
      const copiedAt = fetchSharedBlocks(job);
      const crashCountAtSubmit = crashCount;
      eventQueue.runAt(copiedAt, () => {
        if (crashCountAtSubmit !== crashCount) {
          job.onCrash();
          return;
        }
        waiting.push(item);
        if (!isStepping) {
          runStep();
        }
      });
      return true;
    },
    cancel: job => {
      waiting = waiting.filter(item => item.job !== job);
      const item = running.find(other => other.job === job);
      if (item) {
        running = running.filter(other => other !== item);
        releaseKvCache(item);
      }
    },
    crash: () => {
      const lostJobs = [...running, ...waiting];
      isUp = false;
      isStepping = false;
      crashCount += 1;
      running = [];
      waiting = [];
      cachedBlocks.clear();
      usedTokens = 0;
      evictableTokens = 0;
      lostJobs.forEach(item => item.job.onCrash());
    },
    leave: () => {
      isLeaving = true;
    },
    setNeed: newNeed => {
      need = newNeed;
    },
    start: () => {
      isUp = true;
      need = undefined;
      isLeaving = false;
    },
  };
}
