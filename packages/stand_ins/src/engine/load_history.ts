/** Load reports that are older than the engine's current load by a fixed lag. */

/** Answer of an engine's `/load`. */
export interface EngineLoad {
  running: number;
  waiting: number;
  completed: number;
  tokens: number;
  /** Time of the last start; identifies a restart. */
  startedAt: number;
}

export interface LoadHistory {
  record(now: number, load: EngineLoad): void;
  /** Returns the newest load that is at least as old as the lag, or the oldest. */
  get(now: number): EngineLoad;
}

/** Creates an empty history; `record` must be called before `get`. */
export function createLoadHistory(lagMs: number): LoadHistory {
  const entries: Array<{recordedAt: number; load: EngineLoad}> = [];

  function removeOutdated(now: number): void {
    while (entries.length > 1 && entries[1]!.recordedAt <= now - lagMs) {
      entries.shift();
    }
  }

  return {
    record: (now, load) => {
      entries.push({recordedAt: now, load});
      removeOutdated(now);
    },
    get: now => {
      removeOutdated(now);
      return entries[0]!.load;
    },
  };
}
