/** Load reports that lag behind the engine's state. */

/** What an engine reports of itself. */
export interface EngineLoad {
  running: number;
  waiting: number;
  completed: number;
  tokens: number;
  /** Time of the start; differs after every restart. */
  startedAt: number;
}

/** Past loads of one engine. */
export interface LoadHistory {
  record(now: number, load: EngineLoad): void;
  /** The newest load that is at least as old as the lag. */
  get(now: number): EngineLoad;
}

/** Creates a history that needs one record first; the lag is in milliseconds. */
export function createLoadHistory(lagMs: number): LoadHistory {
  const past: Array<{at: number; load: EngineLoad}> = [];

  function removeOutdated(now: number): void {
    while (past.length > 1 && past[1]!.at <= now - lagMs) {
      past.shift();
    }
  }

  return {
    record: (now, load) => {
      past.push({at: now, load});
      removeOutdated(now);
    },
    get: now => {
      removeOutdated(now);
      return past[0]!.load;
    },
  };
}
