/**
 * Model of a model server: continuous batching, prompts read in chunks between
 * the tokens of other answers, shared parts of prompts kept in memory, and
 * preemption of the newest least urgent request.
 */
import type {Agenda} from './agenda.js';
import type {
  EngineJob,
  EngineModel,
  EngineProfile,
  EngineTotals,
} from './engine.js';

interface RunningJob {
  job: EngineJob;
  /** Order of arrival at the server. */
  order: number;
  /** Prompt tokens that are still to be read, and those of lost output. */
  unreadTokens: number;
  /** Shared parts in memory that it uses. */
  usedKeys: string[];
  /** Tokens in memory that are its own. */
  ownTokens: number;
  /** Output tokens so far. */
  producedTokens: number;
  isRunning: boolean;
}

interface CachedPart {
  tokens: number;
  users: number;
  usedAt: number;
}

/** Options of {@link createEngineModel}. */
export interface EngineModelOptions {
  profile: EngineProfile;
  agenda: Agenda;
  /** Factor on the time of each step; 1 by default. */
  slowness?: number;
}

/** Creates a server that is up and holds nothing. */
export function createEngineModel(options: EngineModelOptions): EngineModel {
  const {profile, agenda, slowness = 1} = options;
  const totals: EngineTotals = {readTokens: 0, copiedTokens: 0, preemptions: 0};
  const parts = new Map<string, CachedPart>();
  let waiting: RunningJob[] = [];
  let running: RunningJob[] = [];
  let usedTokens = 0;
  let cachedTokens = 0;
  let order = 0;
  let isStepping = false;
  let isUp = true;
  /** When the copies under way have ended. */
  let linkFreeAt = 0;
  /** Steps of a server that has crashed since are dropped. */
  let life = 0;

  function countHeld(item: RunningJob): number {
    let held = 0;
    for (const {key, tokens} of item.job.parts) {
      if (key === '' || !parts.has(key)) {
        break;
      }
      held += tokens;
    }
    return held;
  }

  function countPrompt({job}: RunningJob): number {
    return job.parts.reduce((sum, part) => sum + part.tokens, 0);
  }

  function takePart(item: RunningJob, key: string, tokens: number): void {
    let part = parts.get(key);
    if (!part) {
      part = {tokens, users: 0, usedAt: agenda.now};
      parts.set(key, part);
      usedTokens += tokens;
    } else if (part.users === 0) {
      cachedTokens -= tokens;
      usedTokens += tokens;
    }
    part.users += 1;
    part.usedAt = agenda.now;
    item.usedKeys.push(key);
  }

  function releaseMemory(item: RunningJob): void {
    usedTokens -= item.ownTokens;
    item.ownTokens = 0;
    for (const key of item.usedKeys) {
      const part = parts.get(key)!;
      part.users -= 1;
      part.usedAt = agenda.now;
      if (part.users === 0) {
        usedTokens -= part.tokens;
        cachedTokens += part.tokens;
      }
    }
    item.usedKeys = [];
  }

  function removeUnused(): void {
    if (usedTokens + cachedTokens <= profile.memoryTokens) {
      return;
    }
    const unused = [...parts]
      .filter(([, part]) => part.users === 0)
      .sort(([, a], [, b]) => a.usedAt - b.usedAt);
    for (const [key, {tokens}] of unused) {
      if (usedTokens + cachedTokens <= profile.memoryTokens) {
        return;
      }
      parts.delete(key);
      cachedTokens -= tokens;
    }
  }

  function startJob(item: RunningJob): void {
    const held = countHeld(item);
    let position = 0;
    for (const {key, tokens} of item.job.parts) {
      position += tokens;
      if (position <= held) {
        takePart(item, key, tokens);
      }
    }
    item.unreadTokens = countPrompt(item) - held + item.producedTokens;
    item.ownTokens = item.unreadTokens;
    usedTokens += item.ownTokens;
    item.isRunning = true;
    running.push(item);
    removeUnused();
  }

  function compareUrgency(a: RunningJob, b: RunningJob): number {
    return a.job.urgency - b.job.urgency || a.order - b.order;
  }

  /** Puts the newest least urgent request back to those that wait. */
  function preemptFor(urgency: number): boolean {
    const victim = running.reduce<RunningJob | undefined>(
      (last, item) => (!last || compareUrgency(item, last) > 0 ? item : last),
      undefined,
    );
    if (!victim || victim.job.urgency <= urgency) {
      return false;
    }
    totals.preemptions += 1;
    running = running.filter(item => item !== victim);
    releaseMemory(victim);
    victim.isRunning = false;
    waiting.push(victim);
    return true;
  }

  function hasRoom(item: RunningJob): boolean {
    const need = countPrompt(item) - countHeld(item) + item.producedTokens;
    return (
      running.length < profile.slots &&
      usedTokens + need <= profile.memoryTokens
    );
  }

  /** Starts the next request that waits, if there is room for it. */
  function startNext(): RunningJob | undefined {
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

  /** Shared parts count as held by the server once they have been read. */
  function keepParts(item: RunningJob): void {
    for (const {key, tokens} of item.job.parts) {
      if (key === '') {
        break;
      }
      if (!item.usedKeys.includes(key)) {
        usedTokens -= tokens;
        item.ownTokens -= tokens;
        takePart(item, key, tokens);
      }
    }
  }

  /** Copies shared parts that the source holds; tells when they are here. */
  function fetchParts({copySource, parts: wanted}: EngineJob): number {
    let tokens = 0;
    for (const {key, tokens: size} of wanted) {
      if (key === '' || !(parts.has(key) || copySource?.holds(key))) {
        break;
      }
      if (!parts.has(key)) {
        parts.set(key, {tokens: size, users: 0, usedAt: agenda.now});
        cachedTokens += size;
        tokens += size;
      }
    }
    removeUnused();
    if (tokens === 0) {
      return agenda.now;
    }
    totals.copiedTokens += tokens;
    linkFreeAt =
      Math.max(agenda.now, linkFreeAt) +
      profile.copySetUpMs +
      tokens / profile.copiedTokensPerMs;
    return linkFreeAt;
  }

  /** Reads prompts under way first, then those of requests that wait. */
  function readChunk(): number {
    let budget = profile.chunkTokens;
    function read(item: RunningJob): void {
      const taken = Math.min(budget, item.unreadTokens);
      item.unreadTokens -= taken;
      budget -= taken;
      if (item.unreadTokens === 0) {
        keepParts(item);
      }
    }
    running.forEach(read);
    while (budget > 0) {
      const started = startNext();
      if (!started) {
        break;
      }
      read(started);
    }
    const total = profile.chunkTokens - budget;
    totals.readTokens += total;
    return total;
  }

  function addToken(item: RunningJob): void {
    item.producedTokens += 1;
    item.ownTokens += 1;
    usedTokens += 1;
    const isLast = item.producedTokens >= item.job.outputTokens;
    if (isLast) {
      running = running.filter(other => other !== item);
      releaseMemory(item);
    }
    if (isLast || item.producedTokens % profile.tokensPerEvent === 0) {
      item.job.onEvent(isLast);
    }
  }

  function endStep(): void {
    for (const item of running.filter(other => other.unreadTokens === 0)) {
      addToken(item);
    }
    while (usedTokens > profile.memoryTokens && preemptFor(-1)) {
      // Each round frees the memory of one request.
    }
    removeUnused();
    runStep();
  }

  function runStep(): void {
    const read = readChunk();
    isStepping = running.length > 0;
    if (!isStepping) {
      return;
    }
    const duration =
      profile.stepMs +
      profile.stepMsPerRequest * running.length +
      (profile.contextMsPerThousand * usedTokens) / 1000 +
      read / profile.readingTokensPerMs;
    const stepLife = life;
    agenda.runAt(agenda.now + duration * slowness, () => {
      if (stepLife === life) {
        endStep();
      }
    });
  }

  return {
    totals,
    get isUp() {
      return isUp;
    },
    holds: key => parts.has(key),
    submit: job => {
      if (!isUp || waiting.length >= profile.maximumWaiting) {
        return false;
      }
      order += 1;
      const item = {
        job,
        order,
        unreadTokens: 0,
        usedKeys: [],
        ownTokens: 0,
        producedTokens: 0,
        isRunning: false,
      };
      const copiedAt = fetchParts(job);
      const submitLife = life;
      agenda.runAt(copiedAt, () => {
        if (submitLife !== life) {
          job.onBroken();
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
        releaseMemory(item);
      }
    },
    crash: () => {
      const lost = [...running, ...waiting];
      isUp = false;
      isStepping = false;
      life += 1;
      running = [];
      waiting = [];
      parts.clear();
      usedTokens = 0;
      cachedTokens = 0;
      lost.forEach(item => item.job.onBroken());
    },
    start: () => {
      isUp = true;
    },
  };
}
